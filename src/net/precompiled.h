#pragma once

// Precompiled: the slow headers of the I/O units. Logic units never include them.
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>
