#include <telemetry/tracer.hpp>

#include <utility>

namespace berylhill::telemetry
{

tracer::tracer(std::string instance, std::size_t most_spans, base::clock& time)
    : m_instance{std::move(instance)}
    , m_clock{time}
    , m_store{most_spans}
{
}

open_span tracer::begin(std::string name, trace_context const& parent)
{
    span it;
    it.context = child_of(parent);
    it.parent_id = parent.span_id;
    it.name = std::move(name);
    return {*this, std::move(it)};
}

open_span tracer::begin_root(std::string name)
{
    span it;
    it.context = new_trace();
    it.name = std::move(name);
    return {*this, std::move(it)};
}

open_span::open_span(tracer& owner, span it)
    : m_owner{&owner}
    , m_started{owner.m_clock.now()}
    , m_span{std::move(it)}
{
    m_span.instance = owner.m_instance;
    m_span.start_us = owner.m_clock.wall_us();
}

open_span::open_span(open_span&& other) noexcept
    : m_owner{std::exchange(other.m_owner, nullptr)}
    , m_started{other.m_started}
    , m_span{std::move(other.m_span)}
{
}

open_span::~open_span()
{
    end();
}

void open_span::set(std::string name, std::string value)
{
    m_span.attributes.push_back({std::move(name), std::move(value)});
}

void open_span::end()
{
    if (m_owner == nullptr)
    {
        return;
    }
    auto& owner = *std::exchange(m_owner, nullptr);
    // The monotonic clock: the wall clock may be set back meanwhile.
    m_span.duration_us = (owner.m_clock.now() - m_started).count();
    owner.m_store.add(m_span);
}

} // namespace berylhill::telemetry
