#pragma once

// Precompiled headers for I/O code: those that take long to compile. Code without I/O does not use this file.
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>
