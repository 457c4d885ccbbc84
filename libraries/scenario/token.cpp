#include <scenario/token.hpp>

#include <boost/spirit/home/x3.hpp>

#include <utility>

namespace berylhill::scenario
{

namespace
{

namespace x3 = boost::spirit::x3;

using iterator = std::string_view::const_iterator;

constexpr double s_second = 1;
constexpr double s_millisecond = 0.001;
constexpr double s_minute = 60;

auto const word_end = &(x3::space | '#') | x3::eoi;

struct unit_table : x3::symbols<std::pair<token_kind, double>>
{
    unit_table()
    {
        add("ms", std::pair{token_kind::duration, s_millisecond})(
            "s", std::pair{token_kind::duration, s_second})(
            "m", std::pair{token_kind::duration, s_minute})(
            "%", std::pair{token_kind::percent, 1.0});
    }
};

token quantity_from(std::string_view text)
{
    static unit_table const s_units;
    double amount = 0;
    std::pair<token_kind, double> unit{token_kind::number, 1.0};
    auto begin = text.begin();
    auto const end = text.end();
    auto const read_amount = [&](auto& context)
    {
        amount = _attr(context);
    };
    auto const read_unit = [&](auto& context)
    {
        unit = _attr(context);
    };
    auto const grammar =
        x3::double_[read_amount] >> -s_units[read_unit] >> x3::eoi;
    if (!x3::parse(begin, end, grammar))
    {
        return {token_kind::word, std::string{text}, 0, 0};
    }
    return {unit.first, std::string{text}, amount * unit.second, 0};
}

} // namespace

std::string_view name_of(token_kind it) noexcept
{
    switch (it)
    {
    case token_kind::word:
        return "a word";
    case token_kind::number:
        return "a number";
    case token_kind::duration:
        return "a time such as 5s or 200ms";
    case token_kind::percent:
        return "a share such as 20%";
    }
    return "a word";
}

std::vector<token> tokens_of(std::string_view line)
{
    std::vector<token> tokens;
    auto const keep = [&](auto& context)
    {
        auto const& range = _attr(context);
        std::string_view const text{range.begin(), range.end()};
        auto it = quantity_from(text);
        it.column = static_cast<std::size_t>(range.begin() - line.begin()) + 1;
        tokens.push_back(std::move(it));
    };
    auto const piece = x3::raw[+(x3::char_ - x3::space - '#') >> word_end];
    auto const comment = x3::lit('#') >> *x3::char_;
    auto begin = line.begin();
    x3::parse(begin, line.end(),
              *x3::space >> *(piece[keep] >> *x3::space) >> -comment);
    return tokens;
}

} // namespace berylhill::scenario
