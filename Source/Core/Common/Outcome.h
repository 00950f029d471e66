#pragma once

#include <boost/leaf.hpp>
#include <string>

#include "Schema/Schema.h"

namespace Common {

/// Reason and detail of an operation that failed.
struct Failure
{
    Schema::Reason reason = Schema::Reason::None;
    std::string detail;
};

/// A value, or a Failure that the nearest enclosing handle() passes to its handler.
template <typename Value>
using Outcome = boost::leaf::result<Value>;

inline boost::leaf::error_id failure(Schema::Reason reason, std::string detail)
{
    return boost::leaf::new_error(Failure{reason, std::move(detail)});
}

/// Runs \a attempt, which returns an Outcome. If it fails, returns the result of \a recover, which
/// receives the Failure.
template <typename Attempt, typename Recover>
auto handle(Attempt &&attempt, Recover &&recover)
{
    return boost::leaf::try_handle_all(
            std::forward<Attempt>(attempt),
            [&recover](const Failure &failed) { return recover(failed); },
            [&recover] {
                return recover(Failure{Schema::Reason::None, "unspecified error"});
            });
}

} // namespace Common
