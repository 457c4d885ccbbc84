#pragma once

#include <telemetry/counter.hpp>
#include <telemetry/gauge.hpp>
#include <telemetry/latency_histogram.hpp>
#include <telemetry/metric_label.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

namespace berylhill::telemetry
{

/// All metrics of a process, by name and labels. Thread-safe: look a metric up
/// once, keep the reference (valid as long as this object) and use it without
/// any lock.
class metrics
{
public:
    metrics() = default;
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;
    ~metrics() = default;

    /// The metric of this name and these labels, made when first asked for.
    /// Names follow Prometheus (`berylhill_calls_total`, unit in the name);
    /// `help` is taken from the first caller. Precondition: the name is not
    /// used for another type of metric.
    [[nodiscard]] telemetry::counter& counter(std::string const& name,
                                              std::string const& help,
                                              metric_labels const& labels = {});
    [[nodiscard]] telemetry::gauge& gauge(std::string const& name,
                                          std::string const& help,
                                          metric_labels const& labels = {});
    [[nodiscard]] latency_histogram& latency(std::string const& name,
                                             std::string const& help,
                                             metric_labels const& labels = {});

    /// Everything in Prometheus's text exposition format 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    using any_metric = std::variant<std::unique_ptr<telemetry::counter>,
                                    std::unique_ptr<telemetry::gauge>,
                                    std::unique_ptr<latency_histogram>>;

    struct family
    {
        std::string help;
        std::map<metric_labels, any_metric> series;
    };

    template <class Metric>
    [[nodiscard]] Metric& find_or_make(std::string const& name,
                                       std::string const& help,
                                       metric_labels const& labels);

    mutable std::mutex m_lock;
    std::map<std::string, family> m_families;
};

} // namespace berylhill::telemetry
