#pragma once

#include "Agent/Outcomes.h"
#include "Net/HttpClient.h"
#include "Schema/Schema.h"

/// What the backend server's answer to POST /run proves about a task.
namespace Agent {

/// Not started only where that is proved: the connection was never made, or the backend server said
/// so (412 after notAfterMs, 503 when it takes no work). A call that was lost or timed out may have
/// started the task, so its outcome is unknown, never "not started".
TaskEnd readRunAnswer(const Net::HttpResult &answer);

/// True where GET /health found the backend server able to work.
bool readHealthAnswer(const Net::HttpResult &answer);

} // namespace Agent
