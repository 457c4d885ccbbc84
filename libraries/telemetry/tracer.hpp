#pragma once

#include <base/time.hpp>
#include <telemetry/span_store.hpp>

#include <string>
#include <vector>

namespace berylhill::telemetry
{

class open_span;

/// Makes the spans of one instance. Thread-safe.
class tracer
{
public:
    /// `time` must outlive this object.
    tracer(std::string instance, std::size_t most_spans, base::clock& time);

    /// Begins the hop of a request that came with this context.
    [[nodiscard]] open_span begin(std::string name,
                                  trace_context const& parent);

    /// Begins a trace here.
    [[nodiscard]] open_span begin_root(std::string name);

    [[nodiscard]] span_store const& store() const noexcept
    {
        return m_store;
    }

private:
    friend class open_span;

    std::string m_instance;
    base::clock& m_clock;
    span_store m_store;
};

/// A hop in progress. It ends when destroyed, also by an early return, so that
/// a failed hop leaves its span too. Not thread-safe, but may be moved to the
/// thread that finishes the hop.
class open_span
{
public:
    open_span(open_span&& other) noexcept;
    open_span(open_span const&) = delete;
    open_span& operator=(open_span const&) = delete;
    open_span& operator=(open_span&&) = delete;
    ~open_span();

    /// What to send on, as `traceparent`.
    [[nodiscard]] trace_context const& context() const noexcept
    {
        return m_span.context;
    }

    void set(std::string name, std::string value);

    /// Ends the hop now. A second end is ignored.
    void end();

private:
    friend class tracer;

    open_span(tracer& owner, span it);

    tracer* m_owner;
    base::instant m_started;
    span m_span;
};

} // namespace berylhill::telemetry
