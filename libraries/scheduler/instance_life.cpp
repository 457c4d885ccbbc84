#include <scheduler/instance_life.hpp>

#include <charconv>

namespace berylhill::scheduler
{

namespace
{

constexpr char separator = '@';

} // namespace

std::string text_of(instance_life const& it)
{
    // An id that contains the separator is always followed by a birth, so that
    // the last separator is not part of an id.
    auto const bare =
        it.born_ms == 0 && it.id.find(separator) == std::string::npos;
    return bare ? it.id : life_prefix(it.id) + std::to_string(it.born_ms);
}

std::string life_prefix(std::string_view id)
{
    return std::string{id} + separator;
}

instance_life parse_life(std::string_view text)
{
    auto const at = text.rfind(separator);
    if (at == std::string_view::npos)
    {
        return {std::string{text}, 0};
    }
    auto const digits = text.substr(at + 1);
    std::int64_t born = 0;
    auto const read =
        std::from_chars(digits.data(), digits.data() + digits.size(), born);
    if (read.ec != std::errc{} || read.ptr != digits.data() + digits.size())
    {
        return {std::string{text}, 0};
    }
    return {std::string{text.substr(0, at)}, born};
}

} // namespace berylhill::scheduler
