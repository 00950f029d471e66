#include "Dispatch/Persistence/LogRecords.h"

namespace Dispatch {

Schema::LogRecord makeRecord(const std::string &instance, Schema::RecordKind kind,
                             Common::Moment now, Common::Random &random)
{
    Schema::LogRecord record;
    record.id = Common::randomId(random);
    record.kind = kind;
    record.instance = instance;
    record.wallMs = now.wallMs;
    return record;
}

} // namespace Dispatch
