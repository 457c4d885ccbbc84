#include <cell/batch_waiters.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <set>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// Moves the elements that satisfy `chosen` out of `from`, keeping their order.
template <class Chosen>
batch_waiters::list take_where(batch_waiters::list& from, Chosen chosen)
{
    auto const kept = std::stable_partition(
        from.begin(), from.end(), [&](auto const& it) { return !chosen(it); });
    batch_waiters::list out{std::make_move_iterator(kept),
                            std::make_move_iterator(from.end())};
    from.erase(kept, from.end());
    return out;
}

} // namespace

void batch_waiters::add(batch_waiter it)
{
    m_next.push_back(std::move(it));
}

void batch_waiters::batch_sent()
{
    assert(m_sent.empty());
    m_sent = std::exchange(m_next, {});
}

void batch_waiters::batch_not_stored()
{
    m_sent.insert(m_sent.end(), std::make_move_iterator(m_next.begin()),
                  std::make_move_iterator(m_next.end()));
    m_next = std::exchange(m_sent, {});
}

batch_waiters::list batch_waiters::batch_stored()
{
    return take_sent();
}

template <class Chosen>
batch_waiters::list batch_waiters::take_from_both(Chosen chosen)
{
    auto out = take_where(m_next, chosen);
    auto sent = take_where(m_sent, chosen);
    out.insert(out.end(), std::make_move_iterator(sent.begin()),
               std::make_move_iterator(sent.end()));
    return out;
}

batch_waiters::list
batch_waiters::rejected(std::set<workload::job_id> const& jobs)
{
    return take_from_both([&](batch_waiter const& it)
                          { return jobs.contains(it.job); });
}

batch_waiters::list batch_waiters::nothing_to_store()
{
    return take_unsent();
}

/// A client that gets no answer retries, so several clients may wait for one
/// job. Once the job is withdrawn all of them must be refused; otherwise the
/// next batch would report a job as accepted that no longer exists.
batch_waiters::list
batch_waiters::refuse_unsent(withdraw_function const& withdraw)
{
    std::set<workload::job_id> withdrawn;
    for (auto const& it : m_next)
    {
        if (it.submitted_job.number != 0 &&
            !withdrawn.contains(it.submitted_job) && withdraw(it.submitted_job))
        {
            withdrawn.insert(it.submitted_job);
        }
    }
    return take_where(m_next, [&](batch_waiter const& it)
                      { return withdrawn.contains(it.submitted_job); });
}

batch_waiters::list batch_waiters::expire(base::instant now)
{
    return take_from_both([&](batch_waiter const& it)
                          { return now >= it.deadline; });
}

batch_waiters::list batch_waiters::take_unsent()
{
    return std::exchange(m_next, {});
}

batch_waiters::list batch_waiters::take_sent()
{
    return std::exchange(m_sent, {});
}

} // namespace berylhill::cell
