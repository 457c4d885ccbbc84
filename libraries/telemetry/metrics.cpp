#include <telemetry/metrics.hpp>

#include <cassert>
#include <cmath>
#include <sstream>
#include <string_view>

namespace berylhill::telemetry
{

namespace
{

std::string escaped(std::string const& text)
{
    std::string out;
    for (char const it : text)
    {
        if (it == '\n')
        {
            out += "\\n";
            continue;
        }
        if (it == '"' || it == '\\')
        {
            out += '\\';
        }
        out += it;
    }
    return out;
}

std::string text_of(metric_labels const& labels)
{
    std::string out;
    for (auto const& it : labels)
    {
        out += (out.empty() ? "" : ",") + it.name + "=\"" + escaped(it.value) +
               "\"";
    }
    return out.empty() ? out : "{" + out + "}";
}

std::string text_of(double value)
{
    if (std::isinf(value))
    {
        return "+Inf";
    }
    std::ostringstream out;
    out.precision(9);
    out << value;
    return out.str();
}

using counter_pointer = std::unique_ptr<telemetry::counter>;
using gauge_pointer = std::unique_ptr<telemetry::gauge>;
using latency_pointer = std::unique_ptr<latency_histogram>;

/// Writes the lines of one series.
struct series_writer
{
    std::ostringstream& out;
    std::string const& name;
    metric_labels const& labels;

    void operator()(counter_pointer const& it) const
    {
        out << name << text_of(labels) << ' ' << it->value() << '\n';
    }

    void operator()(gauge_pointer const& it) const
    {
        out << name << text_of(labels) << ' ' << text_of(it->value()) << '\n';
    }

    void operator()(latency_pointer const& it) const
    {
        auto const buckets = it->buckets();
        for (auto const& bucket : buckets)
        {
            auto with_bound = labels;
            with_bound.push_back({"le", text_of(bucket.upper_s)});
            out << name << "_bucket" << text_of(with_bound) << ' '
                << bucket.count << '\n';
        }
        out << name << "_sum" << text_of(labels) << ' ' << text_of(it->sum_s())
            << '\n';
        out << name << "_count" << text_of(labels) << ' '
            << buckets.back().count << '\n';
    }
};

struct type_name
{
    std::string_view operator()(counter_pointer const& /*it*/) const
    {
        return "counter";
    }
    std::string_view operator()(gauge_pointer const& /*it*/) const
    {
        return "gauge";
    }
    std::string_view operator()(latency_pointer const& /*it*/) const
    {
        return "histogram";
    }
};

} // namespace

template <class Metric>
Metric& metrics::find_or_make(std::string const& name,
                              std::string const& help,
                              metric_labels const& labels)
{
    std::lock_guard const guard{m_lock};
    auto& group = m_families.try_emplace(name, family{help, {}}).first->second;
    auto it = group.series.find(labels);
    if (it == group.series.end())
    {
        it = group.series.emplace(labels, std::make_unique<Metric>()).first;
    }
    assert(std::holds_alternative<std::unique_ptr<Metric>>(it->second));
    return *std::get<std::unique_ptr<Metric>>(it->second);
}

counter& metrics::counter(std::string const& name,
                          std::string const& help,
                          metric_labels const& labels)
{
    return find_or_make<telemetry::counter>(name, help, labels);
}

gauge& metrics::gauge(std::string const& name,
                      std::string const& help,
                      metric_labels const& labels)
{
    return find_or_make<telemetry::gauge>(name, help, labels);
}

latency_histogram& metrics::latency(std::string const& name,
                                    std::string const& help,
                                    metric_labels const& labels)
{
    return find_or_make<latency_histogram>(name, help, labels);
}

std::string metrics::text() const
{
    std::lock_guard const guard{m_lock};
    std::ostringstream out;
    for (auto const& [name, group] : m_families)
    {
        out << "# HELP " << name << ' ' << escaped(group.help) << '\n';
        out << "# TYPE " << name << ' '
            << std::visit(type_name{}, group.series.begin()->second) << '\n';
        for (auto const& [labels, metric] : group.series)
        {
            std::visit(series_writer{out, name, labels}, metric);
        }
    }
    return out.str();
}

} // namespace berylhill::telemetry
