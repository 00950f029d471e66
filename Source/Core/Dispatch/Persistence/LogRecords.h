#pragma once

#include <string>

#include "Common/Common.h"
#include "Schema/Schema.h"

namespace Dispatch {

/// Creates a record of \a kind, written by \a instance, with a unique id. The id identifies a
/// record that was appended twice because the answer to the first attempt was lost.
Schema::LogRecord makeRecord(const std::string &instance, Schema::RecordKind kind,
                             Common::Moment now, Common::Random &random);

} // namespace Dispatch
