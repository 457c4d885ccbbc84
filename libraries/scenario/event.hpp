#pragma once

#include <base/result.hpp>

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::scenario
{

/// Something that a stand-in, a caller or the runner saw.
struct event
{
    /// CLOCK_BOOTTIME, the same for all processes of a machine.
    std::int64_t at_us{0};
    std::string kind;
    /// A worker, a minion, an entry, a stream or a contract.
    std::string subject;
    /// What else the kind has.
    Json::Value details{Json::objectValue};

    /// Empty where there is no such detail.
    [[nodiscard]] std::string word(char const* name) const;
    /// 0 where there is no such detail.
    [[nodiscard]] std::int64_t number(char const* name) const;
    [[nodiscard]] bool flag(char const* name) const;
};

/// Events in the order of their times.
using timeline = std::vector<event>;

/// One line of a history; fails with `invalid`.
[[nodiscard]] base::result<event> event_from(std::string_view line);

/// JSON lines; the last one may be cut short, because its writer was killed.
/// Fails with `invalid` for any other line that cannot be read.
[[nodiscard]] base::result<timeline> timeline_from(std::string_view text);

/// Both, in the order of their times.
[[nodiscard]] timeline merged(timeline const& one, timeline const& other);

[[nodiscard]] std::string text_of(event const& it);

} // namespace berylhill::scenario
