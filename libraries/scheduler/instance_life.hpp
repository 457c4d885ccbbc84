#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylhill::scheduler
{

/// One life of an instance: from its start until it ends or crashes. An
/// instance may start again under its id and then knows nothing of before. A
/// value.
struct instance_life
{
    std::string id;
    /// When it started, in milliseconds since 1970; 0 if the instance does not
    /// tell, and then an id has one life.
    std::int64_t born_ms{0};

    friend auto operator<=>(instance_life const&,
                            instance_life const&) = default;
};

/// The name by which the scheduler knows the life: `ID@BIRTH`, or the id alone
/// if the birth is not told.
[[nodiscard]] std::string text_of(instance_life const& it);

/// What the names of all lives with a birth of an instance begin with.
[[nodiscard]] std::string life_prefix(std::string_view id);

/// Reverses `text_of`. A text without a birth is an id.
[[nodiscard]] instance_life parse_life(std::string_view text);

} // namespace berylhill::scheduler
