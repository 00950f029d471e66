#pragma once

#include "Lab.h"

/// The cases of this review. Each returns 0 if the rule held, 1 if it was broken, and 2 if the case
/// could not run.
namespace Cases {

int gatewayAndAgentKilled();
int otherKindBeforePing();

} // namespace Cases
