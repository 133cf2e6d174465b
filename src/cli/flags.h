#pragma once

#include <gflags/gflags.h>

DECLARE_string(settings);
DECLARE_string(node);
DECLARE_string(control);
DECLARE_string(output);
DECLARE_string(route);
DECLARE_string(tenant);
DECLARE_int32(prompt_tokens);
DECLARE_int32(answer_tokens);
DECLARE_string(operator_name);
DECLARE_string(command_id);
DECLARE_bool(dry_run);
DECLARE_bool(undo);
DECLARE_int32(port_base);
DECLARE_int32(seconds);
DECLARE_string(data);
DECLARE_int64(first_seed);
DECLARE_int64(runs);
DECLARE_string(targets);
DECLARE_string(tenants);
DECLARE_string(model);
DECLARE_string(service_path);
DECLARE_string(execution_log);
DECLARE_int32(callers);
DECLARE_int64(requests);
DECLARE_string(experiment);
DECLARE_string(out);
DECLARE_int32(hollow);
