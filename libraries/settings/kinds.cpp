#include <settings/kinds.hpp>

#include <arpa/inet.h>

#include <json/writer.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace berylhill::settings
{

namespace
{

constexpr std::size_t s_longest_identifier = 64;
constexpr int s_highest_port = 65'535;

std::string plain(double it)
{
    constexpr int enough_for_limits = 12;
    std::ostringstream out;
    out.precision(enough_for_limits);
    out << it;
    return out.str();
}

template <class Integer>
class integer_kind final : public value_kind<Integer>
{
public:
    integer_kind(Integer least, Integer most)
        : m_least{least}
        , m_most{most}
    {
    }

    [[nodiscard]] std::string name() const override
    {
        auto out = "integer from " + std::to_string(m_least);
        if (m_most == std::numeric_limits<Integer>::max())
        {
            return out + " on";
        }
        return out + " to " + std::to_string(m_most);
    }

    void read(located_value const& from,
              Integer& into,
              base::findings& found) const override
    {
        if (!from.json().isInt64())
        {
            found.add(wrong_type(from, name()));
            return;
        }
        auto const value = from.json().asInt64();
        if (value < m_least || value > m_most)
        {
            found.add(
                from.wrong(std::to_string(value) + " is not an " + name()));
            return;
        }
        into = static_cast<Integer>(value);
    }

    [[nodiscard]] Json::Value write(Integer const& it) const override
    {
        return Json::Int64{it};
    }

private:
    Integer m_least;
    Integer m_most;
};

class number_kind final : public value_kind<double>
{
public:
    number_kind(double least, double most)
        : m_least{least}
        , m_most{most}
    {
    }

    [[nodiscard]] std::string name() const override
    {
        return "number from " + plain(m_least) + " to " + plain(m_most);
    }

    void read(located_value const& from,
              double& into,
              base::findings& found) const override
    {
        if (!from.json().isNumeric())
        {
            found.add(wrong_type(from, name()));
            return;
        }
        auto const value = from.json().asDouble();
        if (!(value >= m_least && value <= m_most))
        {
            found.add(from.wrong(plain(value) + " is not a " + name()));
            return;
        }
        into = value;
    }

    [[nodiscard]] Json::Value write(double const& it) const override
    {
        return it;
    }

private:
    double m_least;
    double m_most;
};

/// A string that some test accepts.
class text_kind final : public value_kind<std::string>
{
public:
    using test = bool (*)(std::string const& text, std::size_t longest);

    text_kind(std::string name, test accepts, std::size_t longest)
        : m_name{std::move(name)}
        , m_accepts{accepts}
        , m_longest{longest}
    {
    }

    [[nodiscard]] std::string name() const override
    {
        return m_name;
    }

    void read(located_value const& from,
              std::string& into,
              base::findings& found) const override
    {
        if (!from.json().isString())
        {
            found.add(wrong_type(from, name()));
            return;
        }
        auto value = from.json().asString();
        if (!m_accepts(value, m_longest))
        {
            found.add(from.wrong("\"" + value + "\" is not a valid " + name()));
            return;
        }
        into = std::move(value);
    }

    [[nodiscard]] Json::Value write(std::string const& it) const override
    {
        return it;
    }

private:
    std::string m_name;
    test m_accepts;
    std::size_t m_longest;
};

bool is_lower_or_digit(char it)
{
    return (it >= 'a' && it <= 'z') || (it >= '0' && it <= '9');
}

bool is_identifier(std::string const& it, std::size_t longest)
{
    return !it.empty() && it.size() <= longest && is_lower_or_digit(it[0]) &&
           std::all_of(it.begin(), it.end(),
                       [](char c) {
                           return is_lower_or_digit(c) || c == '-' || c == '.';
                       });
}

bool is_port(std::string_view it)
{
    int value = 0;
    auto const* const end = it.data() + it.size();
    auto const read = std::from_chars(it.data(), end, value);
    return read.ec == std::errc{} && read.ptr == end && value > 0 &&
           value <= s_highest_port;
}

bool is_address(std::string const& it, std::size_t /*longest*/)
{
    auto const colon = it.rfind(':');
    if (colon == std::string::npos || !is_port(it.substr(colon + 1)))
    {
        return false;
    }
    auto host = it.substr(0, colon);
    in6_addr buf{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, host.c_str(), &buf) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), &buf) == 1;
}

} // namespace

base::finding wrong_type(located_value const& it, std::string_view wanted)
{
    return it.wrong("expected " + std::string{wanted} + ", found " +
                    std::string{type_name_of(it.json())});
}

std::string short_text_of(Json::Value const& it)
{
    constexpr int digits_of_people = 12;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["precision"] = digits_of_people;
    return Json::writeString(builder, it);
}

kind_pointer<std::int64_t> integer(std::int64_t least, std::int64_t most)
{
    return std::make_shared<integer_kind<std::int64_t>>(least, most);
}

kind_pointer<std::int32_t> small_integer(std::int32_t least, std::int32_t most)
{
    return std::make_shared<integer_kind<std::int32_t>>(least, most);
}

kind_pointer<double> number(double least, double most)
{
    return std::make_shared<number_kind>(least, most);
}

kind_pointer<std::string> text(std::size_t longest)
{
    return std::make_shared<text_kind>(
        "text of at most " + std::to_string(longest) + " bytes",
        [](std::string const& it, std::size_t most)
        { return it.size() <= most; },
        longest);
}

kind_pointer<std::string> identifier()
{
    return std::make_shared<text_kind>("identifier (a-z, 0-9, - and .)",
                                       &is_identifier, s_longest_identifier);
}

kind_pointer<std::string> address()
{
    return std::make_shared<text_kind>("address IP:port", &is_address, 0);
}

} // namespace berylhill::settings
