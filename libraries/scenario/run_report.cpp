#include <scenario/run_report.hpp>

#include <algorithm>
#include <fstream>

namespace berylhill::scenario
{

namespace
{

/// Events shown before and after a breach.
constexpr std::ptrdiff_t s_around = 12;
constexpr std::size_t s_most_shown = 5;

} // namespace

std::string explain(run_report const& report)
{
    std::string text;
    for (auto const& it : report.missed)
    {
        text += "missed: " + it + "\n";
    }
    std::size_t shown = 0;
    for (auto const& it : report.breaches)
    {
        text += "broken: " + it.promise + ": " + it.message + "\n";
        if (++shown > s_most_shown)
        {
            continue;
        }
        auto const at = std::lower_bound(
            report.seen.begin(), report.seen.end(), it.at_us,
            [](event const& seen, std::int64_t us) { return seen.at_us < us; });
        auto const first =
            at - std::min<std::ptrdiff_t>(s_around, at - report.seen.begin());
        auto const last =
            at + std::min<std::ptrdiff_t>(s_around, report.seen.end() - at);
        for (auto near = first; near != last; ++near)
        {
            text += (near == at ? "  > " : "    ") + text_of(*near) + "\n";
        }
    }
    return text;
}

void keep(run_report const& it, std::string const& file)
{
    std::ofstream out{file};
    for (auto const& seen : it.seen)
    {
        out << text_of(seen) << "\n";
    }
}

} // namespace berylhill::scenario
