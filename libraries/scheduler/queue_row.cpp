#include <scheduler/queue_row.hpp>

#include <scheduler/record_rows.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scheduler
{

namespace json = boost::json;

namespace
{

/// The elements of the row; durations in microseconds. Those of the advice
/// service are omitted if the queue has none.
enum element : std::size_t
{
    service,
    max_attempts,
    stretch,
    target_latency,
    priority,
    advice_decision,
    advice_per_instance,
    advice_validity,
};

base::duration duration_at(json::array const& row, element n)
{
    return base::duration{at_or(row, n)};
}

} // namespace

json::array queue_row(workload::queue_spec const& it)
{
    json::array out{it.service, it.max_attempts, it.stretch,
                    it.target_latency.count(), it.priority};
    if (it.advice)
    {
        out.emplace_back(it.advice->decision.count());
        out.emplace_back(it.advice->per_instance.count());
        out.emplace_back(it.advice->validity.count());
    }
    return out;
}

std::shared_ptr<workload::queue_spec const> queue_in(json::array const& row,
                                                     std::string name)
{
    workload::queue_spec out;
    out.name = std::move(name);
    out.service = text_at(row, element::service);
    if (out.service.empty() || row.size() <= element::priority ||
        !row[element::stretch].is_number())
    {
        return nullptr;
    }
    out.max_attempts = static_cast<std::uint32_t>(
        std::max<std::int64_t>(1, at_or(row, element::max_attempts)));
    out.stretch = row[element::stretch].to_number<double>();
    out.target_latency = duration_at(row, element::target_latency);
    out.priority = static_cast<std::int32_t>(at_or(row, element::priority));
    if (row.size() > element::advice_validity)
    {
        out.advice = {duration_at(row, element::advice_decision),
                      duration_at(row, element::advice_per_instance),
                      duration_at(row, element::advice_validity)};
    }
    return std::make_shared<workload::queue_spec const>(std::move(out));
}

} // namespace berylhill::scheduler
