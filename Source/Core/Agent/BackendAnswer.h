#pragma once

#include "Agent/Outcomes.h"
#include "Net/HttpClient.h"
#include "Schema/Schema.h"

/// Interprets the backend server's answers to POST /run and GET /health.
namespace Agent {

/// Returns the phase NotStarted only if that is proved: the connection was never established, or
/// the backend server said so (412 after notAfterMs, 503 when it accepts no work). A call that was
/// lost or timed out may have started the task, so its phase is Unknown, never NotStarted.
TaskEnd readRunAnswer(const Net::HttpResult &answer);

/// True if the backend server answered GET /health with status 200.
bool readHealthAnswer(const Net::HttpResult &answer);

} // namespace Agent
