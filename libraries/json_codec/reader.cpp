#include <json_codec/reader.hpp>

#include <cmath>

namespace berylhill::json_codec
{

base::result<boost::json::value> parse(std::string_view text)
{
    boost::json::error_code ec;
    auto out = boost::json::parse(text, ec);
    if (ec)
    {
        return base::fail(base::failure_code::invalid,
                          "not JSON: " + ec.message());
    }
    return out;
}

boost::json::value const* member(boost::json::value const& it,
                                 std::string_view name)
{
    auto const* const object = it.if_object();
    return object == nullptr ? nullptr : object->if_contains(name);
}

std::string text_or(boost::json::value const& it,
                    std::string_view name,
                    std::string_view otherwise)
{
    auto const* const found = member(it, name);
    if (found == nullptr || !found->is_string())
    {
        return std::string{otherwise};
    }
    return as_text(*found);
}

std::int64_t number_or(boost::json::value const& it,
                       std::string_view name,
                       std::int64_t otherwise)
{
    auto const* const found = member(it, name);
    return found == nullptr ? otherwise : as_number(*found, otherwise);
}

double
real_or(boost::json::value const& it, std::string_view name, double otherwise)
{
    auto const* const found = member(it, name);
    if (found == nullptr || !found->is_number())
    {
        return otherwise;
    }
    return found->to_number<double>();
}

bool flag_or(boost::json::value const& it,
             std::string_view name,
             bool otherwise)
{
    auto const* const found = member(it, name);
    auto const* const flag = found == nullptr ? nullptr : found->if_bool();
    return flag == nullptr ? otherwise : *flag;
}

std::int64_t as_number(boost::json::value const& it, std::int64_t otherwise)
{
    if (it.is_int64())
    {
        return it.get_int64();
    }
    if (it.is_uint64())
    {
        return static_cast<std::int64_t>(it.get_uint64());
    }
    /// Above it a double does not hold every whole number.
    constexpr double exact_limit = 9'007'199'254'740'992.0;
    if (it.is_double() && std::abs(it.get_double()) < exact_limit)
    {
        return static_cast<std::int64_t>(std::floor(it.get_double()));
    }
    return otherwise;
}

std::string as_text(boost::json::value const& it)
{
    auto const* const text = it.if_string();
    return text == nullptr ? std::string{}
                           : std::string{text->data(), text->size()};
}

boost::json::array const& array_or_empty(boost::json::value const& it,
                                         std::string_view name)
{
    static boost::json::array const s_empty;
    auto const* const found = member(it, name);
    auto const* const array = found == nullptr ? nullptr : found->if_array();
    return array == nullptr ? s_empty : *array;
}

} // namespace berylhill::json_codec
