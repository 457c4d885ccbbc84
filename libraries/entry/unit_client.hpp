#pragma once

#include <base/result.hpp>
#include <base/time.hpp>

#include <json/value.h>

#include <string>

namespace berylhill::entry
{

struct entry_node;

/// Runs `method` at the owner of `unit`, here or at a peer. Thread-safe;
/// blocks. Fails with what the method failed with; with `unavailable` where
/// the unit has no owner that can be reached now; with `superseded` where the
/// owner has changed meanwhile: nothing ran, ask again; with
/// `outcome_unknown` where no answer came.
[[nodiscard]] base::result<Json::Value> call_unit(entry_node& self,
                                                  std::string const& unit,
                                                  std::string const& method,
                                                  Json::Value const& parameters,
                                                  base::duration timeout);

/// After which failures a call is tried again.
enum class repeat : std::uint8_t
{
    /// While it surely did not run.
    when_not_run,
    /// After `outcome_unknown` as well, for methods that change nothing. The
    /// last failure is the call's.
    reading,
    /// After `outcome_unknown` as well, for methods whose change is made once
    /// however often they run. A later refusal does not turn a try without an
    /// answer into one that did not run: the call fails with
    /// `outcome_unknown`.
    same_change,
};

/// The same, again and again until `timeout`.
[[nodiscard]] base::result<Json::Value>
call_unit_until(entry_node& self,
                std::string const& unit,
                std::string const& method,
                Json::Value const& parameters,
                base::duration timeout,
                repeat when);

} // namespace berylhill::entry
