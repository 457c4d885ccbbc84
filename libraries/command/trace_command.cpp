#include <command/subcommand.hpp>

#include <api/paths.hpp>
#include <model/json.hpp>
#include <telemetry/span.hpp>

#include <algorithm>
#include <iomanip>
#include <limits>
#include <map>
#include <sstream>

namespace berylhill::command
{

namespace
{

using span_map = std::map<std::string, telemetry::span>;

constexpr double s_us_per_ms = 1'000;

std::string milliseconds(std::int64_t us)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1)
        << static_cast<double>(us) / s_us_per_ms << " ms";
    return out.str();
}

std::string line_of(telemetry::span const& it, std::int64_t origin_us)
{
    auto line = it.name + "  " + it.instance + "  at " +
                milliseconds(it.start_us - origin_us) + "  took " +
                milliseconds(it.duration_us);
    for (auto const& attribute : it.attributes)
    {
        line += "  " + attribute.name + "=" + attribute.value;
    }
    return line;
}

/// The children of one span, by start. Each span has one parent, so what is
/// reached from a root is a tree, even if others form a ring.
std::vector<telemetry::span const*> children_of(span_map const& spans,
                                                std::string const& parent)
{
    std::vector<telemetry::span const*> out;
    for (auto const& it : spans)
    {
        if (it.second.parent_id == parent)
        {
            out.push_back(&it.second);
        }
    }
    std::sort(out.begin(), out.end(),
              [](auto const* a, auto const* b)
              { return a->start_us < b->start_us; });
    return out;
}

/// A span whose parent is not kept: the caller's own hop, or one that has
/// given way.
std::vector<telemetry::span const*> roots_of(span_map const& spans)
{
    std::vector<telemetry::span const*> out;
    for (auto const& it : spans)
    {
        if (!spans.contains(it.second.parent_id))
        {
            out.push_back(&it.second);
        }
    }
    std::sort(out.begin(), out.end(),
              [](auto const* a, auto const* b)
              { return a->start_us < b->start_us; });
    return out;
}

std::int64_t first_start_of(span_map const& spans)
{
    auto first = std::numeric_limits<std::int64_t>::max();
    for (auto const& it : spans)
    {
        first = std::min(first, it.second.start_us);
    }
    return first;
}

void print(span_map const& spans,
           telemetry::span const& it,
           std::int64_t origin_us,
           int depth,
           std::ostream& out)
{
    out << std::string(static_cast<std::size_t>(2 * depth), ' ')
        << line_of(it, origin_us) << '\n';
    for (auto const* child : children_of(spans, it.context.span_id))
    {
        print(spans, *child, origin_us, depth + 1, out);
    }
}

class trace_command final : public subcommand
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "trace";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "Show the spans of one request.";
    }

    [[nodiscard]] std::string arguments() const override
    {
        return "TRACE-ID";
    }

    [[nodiscard]] std::string example() const override
    {
        return "berylhill trace 0af7651916cd43dd8448eb211c80319c --entry "
               "10.0.0.1:8080";
    }

    void add_options(cxxopts::OptionAdder& /*add*/) const override {}

    [[nodiscard]] base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const override
    {
        BOOST_LEAF_AUTO(words, arguments_in(options, 1, 1));
        BOOST_LEAF_AUTO(client, client_of(options));
        BOOST_LEAF_AUTO(spans, collect(words[0], client));
        if (spans.empty())
        {
            return base::fail(base::failure_code::not_found,
                              "no span of this trace is kept any more");
        }
        if (wants_json(options))
        {
            Json::Value out{Json::objectValue};
            for (auto const& it : spans)
            {
                out["spans"].append(telemetry::to_json(it.second));
            }
            context.out << model::text_of(out) << '\n';
            return exit_code::done;
        }
        auto const origin_us = first_start_of(spans);
        for (auto const* it : roots_of(spans))
        {
            print(spans, *it, origin_us, 0, context.out);
        }
        return exit_code::done;
    }

private:
    /// Each entry is asked: one that took part may be cut off from the others.
    static base::result<span_map> collect(std::string const& trace_id,
                                          entry_client const& client)
    {
        span_map spans;
        base::failure last{base::failure_code::unavailable, "no entry", 0};
        auto reached = false;
        for (auto const& entry : client.entries())
        {
            auto const answer = base::capture(
                [&]
                {
                    return client.only(entry).ask(get(
                        std::string{api::s_traces} + "/" + encoded(trace_id)));
                });
            if (!answer)
            {
                last = answer.error();
                continue;
            }
            reached = true;
            for (auto const& item : answer.value()["spans"])
            {
                BOOST_LEAF_AUTO(it, telemetry::span_from(item));
                auto const id = it.context.span_id;
                spans.insert_or_assign(id, std::move(it));
            }
        }
        if (!reached)
        {
            return base::fail(last);
        }
        return spans;
    }
};

} // namespace

std::unique_ptr<subcommand> make_trace_command()
{
    return std::make_unique<trace_command>();
}

} // namespace berylhill::command
