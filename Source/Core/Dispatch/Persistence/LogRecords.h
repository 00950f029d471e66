#pragma once

#include <string>

#include "Common/Common.h"
#include "Schema/Schema.h"

namespace Dispatch {

/// A record of \a kind that \a instance writes, under an id of its own: a record that was appended
/// twice, because the answer to the first attempt was lost, is known by it.
Schema::LogRecord makeRecord(const std::string &instance, Schema::RecordKind kind,
                             Common::Moment now, Common::Random &random);

} // namespace Dispatch
