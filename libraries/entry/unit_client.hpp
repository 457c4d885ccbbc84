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

/// The same, again and again while it surely did not run, until `timeout`. For
/// methods that may run twice, `outcome_unknown` is tried again as well.
enum class repeat : std::uint8_t
{
    when_not_run,
    always,
};

[[nodiscard]] base::result<Json::Value>
call_unit_until(entry_node& self,
                std::string const& unit,
                std::string const& method,
                Json::Value const& parameters,
                base::duration timeout,
                repeat when);

} // namespace berylhill::entry
