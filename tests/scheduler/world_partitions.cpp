#include "world.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace berylhill::scheduler_test
{

namespace
{

namespace json = boost::json;

/// The share of the jobs that is repeated, and how often.
constexpr double repeated_share = 0.4;
constexpr std::uint32_t most_occurrences = 6;

/// The share of the cut batches whose owner is replaced before the rest is
/// stored.
constexpr double lost_share = 0.4;

/// The share of the parts that the planted fault forgets.
constexpr double forgotten_share = 0.2;

/// How much earlier than it is due an occurrence may start.
constexpr std::int64_t early_ms = 0;

bool is_part(scheduler::record const& it)
{
    return scheduler::parse_record_key(it.key).kind ==
           scheduler::record_kind::part;
}

/// Counts one occurrence too many as complete in the head of a state.
void raise_count(scheduler::record& it)
{
    if (scheduler::parse_record_key(it.key).kind !=
        scheduler::record_kind::state)
    {
        return;
    }
    auto head = json::parse(it.value);
    auto& members = head.as_object();
    if (auto* const count = members.if_contains("c"); count != nullptr)
    {
        *count = count->to_number<std::int64_t>() + 1;
        it.value = json::serialize(head);
    }
}

} // namespace

/// The time of day matters only for jobs that are repeated.
std::int64_t world::wall_ms() const
{
    return partitions() ? std::chrono::duration_cast<std::chrono::milliseconds>(
                              m_now.time_since_epoch())
                              .count()
                        : 0;
}

void world::repeat(workload::job_spec& it)
{
    if (!partitions() || !chance(m_part_random, repeated_share))
    {
        return;
    }
    auto const number = [this](std::int64_t a, std::int64_t b)
    {
        return std::uniform_int_distribution<std::int64_t>{a, b}(m_part_random);
    };
    it.repeats = {static_cast<std::uint32_t>(number(1, most_occurrences)),
                  wall_ms() + number(-500, 500), number(0, 1'500)};
}

/// Applies the planted fault to the records that are about to be stored.
void world::damage_batch(std::vector<scheduler::record>& it)
{
    if (m_fault == planted::forget_parts)
    {
        std::erase_if(it,
                      [this](scheduler::record const& each)
                      {
                          return is_part(each) && !each.value.empty() &&
                                 chance(m_part_random, forgotten_share);
                      });
    }
    if (m_fault == planted::count_complete_too_high)
    {
        std::ranges::for_each(it, raise_count);
    }
    if (m_fault == planted::delete_before_writing)
    {
        std::stable_partition(it.begin(), it.end(),
                              [](scheduler::record const& each)
                              { return each.value.empty(); });
    }
}

/// Lets the store take a beginning of the batch first, wherever it ends.
void world::cut_batch(owner& by, std::vector<scheduler::record>& records)
{
    if (!m_trouble || records.size() < 2 ||
        !chance(m_part_random, m_rough.cut_batch))
    {
        return;
    }
    auto const kept = std::uniform_int_distribution<std::ptrdiff_t>{
        1, std::ssize(records) - 1}(m_part_random);
    by.rest_of_batch.assign(records.begin() + kept, records.end());
    records.erase(records.begin() + kept, records.end());
}

/// The beginning of a batch has been stored. Its owner may be replaced before
/// the rest is.
void world::batch_cut_off()
{
    if (m_trouble && chance(m_part_random, lost_share))
    {
        after(base::duration{0}, [this] { take_over(); });
    }
}

void world::check_due(scheduler::attempt_name const& it)
{
    auto const& repeats = m_submitted.at(it.task.step.job).repeats;
    if (repeats.count == 0)
    {
        return;
    }
    auto const due =
        repeats.first_ms + repeats.interval_ms * it.task.step.occurrence;
    if (it.task.step.occurrence >= repeats.count || wall_ms() < due - early_ms)
    {
        broken("occurrence starts before it is due: " + text_of(it.task));
    }
}

/// No record is left of a job that has none to say so: nobody would ever delete
/// it.
void world::check_records(std::vector<std::string>& into) const
{
    for (auto const& [key, value] : m_newest)
    {
        auto const what = scheduler::parse_record_key(key);
        if (what.kind == scheduler::record_kind::part &&
            !m_newest.contains(scheduler::state_key(what.job)) &&
            !m_newest.contains(scheduler::partitioned_spec_key(what.job)))
        {
            into.push_back("record left behind: " + key);
        }
    }
}

} // namespace berylhill::scheduler_test
