#include <entry/job_shard_actor.hpp>

#include <base/log.hpp>
#include <entry/entry_node.hpp>
#include <entry/unit.hpp>
#include <entry/unit_client.hpp>
#include <model/json.hpp>

#include <caf/all.hpp>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace berylhill::entry
{

namespace
{

constexpr base::duration s_read_wait = std::chrono::milliseconds{200};
constexpr auto s_read_pause = std::chrono::milliseconds{200};
constexpr auto s_open_pause = std::chrono::milliseconds{300};
constexpr base::duration s_inventory_limit = std::chrono::seconds{2};

/// Attempts that one owner may number; the next owner's lie above.
constexpr std::int32_t s_attempts_per_term = 10'000;

} // namespace

void job_shard_actor::start_reading()
{
    auto const self = caf::actor_cast<caf::actor>(this);
    m_node.system.spawn<caf::detached>(
        [this_node = &m_node, self, stop = m_stop_reading,
         stream = m_stream](caf::blocking_actor*)
        {
            stream::log_reader reader{this_node->log, this_node->clock, stream};
            while (!*stop && !this_node->handed_over)
            {
                auto page =
                    base::capture([&] { return reader.poll(s_read_wait); });
                if (!page)
                {
                    std::this_thread::sleep_for(s_read_pause);
                    continue;
                }
                caf::anon_send(self,
                               shard_page{std::make_shared<stream::reader_page>(
                                   std::move(page.value()))});
            }
        });
}

void job_shard_actor::take_page(stream::reader_page const& page)
{
    if (m_phase != phase::reading && m_phase != phase::opening)
    {
        return;
    }
    if (page.missed)
    {
        m_book.reset();
    }
    for (auto const& it : page.entries)
    {
        auto const record =
            base::capture([&] { return jobs::stamped_record_from(it.value); });
        if (!record)
        {
            base::log(base::log_level::warning, "job_record_ignored",
                      {{"unit", m_unit},
                       {"offset", it.at.offset},
                       {"cause", record.error().message}});
            continue;
        }
        m_book.apply(record.value());
    }
    if (m_phase == phase::opening && m_book.epoch() == m_epoch)
    {
        opened();
        return;
    }
    if (m_phase == phase::reading && page.fresh_as_of)
    {
        m_phase = phase::opening;
        open();
    }
}

void job_shard_actor::open()
{
    jobs::shard_opened const record{m_node.settings.instance,
                                    m_book.term() + 1};
    append(record,
           [this](base::outcome<stream::position> const& ended)
           {
               if (!ended && m_phase == phase::opening)
               {
                   delayed_send(this, s_open_pause, open_atom::value);
               }
           });
}

/// The shard's own opening was read back: what a former owner still writes is
/// void, and this book is complete.
void job_shard_actor::opened()
{
    m_stop_reading->store(true);
    m_phase = phase::collecting;
    m_queue = std::make_unique<placement::job_queue>(
        fresh_seed(), m_book.term() * s_attempts_per_term + 1);
    auto const now = m_node.clock.now();
    m_keep_at = now + base::from_seconds(m_node.settings.platform.snapshot_s);
    base::log(base::log_level::info, "shard_opened",
              {{"unit", m_unit},
               {"epoch", m_epoch},
               {"jobs", std::uint64_t{m_book.jobs().size()}}});
    take_contracts();
}

void job_shard_actor::ask_inventories()
{
    auto const view = m_node.view.get();
    std::set<std::string> groups;
    for (auto const& it : view->endpoints)
    {
        if (it.kind == model::endpoint_kind::worker)
        {
            groups.insert(unit_of(it));
        }
    }
    auto complete = true;
    for (auto const& it : groups)
    {
        if (!m_inventories.contains(it))
        {
            complete = false;
            ask_inventory(it);
        }
    }
    // An empty list is one that has not been read yet.
    if (complete && !view->endpoints.empty())
    {
        restore_all();
    }
}

void job_shard_actor::ask_inventory(std::string const& group)
{
    if (!m_asked.insert(group).second || !acting())
    {
        return;
    }
    Json::Value message{Json::objectValue};
    message["unit"] = group;
    message["shard"] = m_unit;
    message["shard_epoch"] = Json::Int64{m_epoch};
    auto const self = caf::actor_cast<caf::actor>(this);
    m_node.peer_io.post(
        [this_node = &m_node, self, group, message]
        {
            auto const answer = base::capture(
                [&]() -> base::result<group_inventory>
                {
                    BOOST_LEAF_AUTO(
                        value, call_unit(*this_node, group, "workers.inventory",
                                         message, s_inventory_limit));
                    return group_inventory_from(value);
                });
            if (!answer)
            {
                std::this_thread::sleep_for(s_read_pause);
            }
            caf::anon_send(self, inventory_answered{group, answer});
        });
}

void job_shard_actor::take_inventory(inventory_answered const& it)
{
    m_asked.erase(it.group);
    if (!it.answer)
    {
        if (m_phase == phase::complete)
        {
            ask_inventory(it.group);
        }
        return;
    }
    auto const& inventory = it.answer.value();
    m_group_epochs[it.group] =
        std::max(m_group_epochs[it.group], inventory.epoch);
    m_queue->update_group(inventory.digest, m_node.clock.now());
    if (m_phase == phase::collecting)
    {
        m_inventories[it.group] = inventory;
        return;
    }
    reconcile(it.group, inventory);
}

void job_shard_actor::restore_all()
{
    auto const now = m_node.clock.now();
    for (auto const& it : m_book.jobs())
    {
        if (!model::is_final(it.second.state))
        {
            restore(it.first, it.second, now);
        }
    }
    for (auto const& it : m_inventories)
    {
        for (auto const& counted : it.second.attempts)
        {
            // A group may have been asked before its job was accepted here.
            if (m_placed.contains(counted.attempt))
            {
                continue;
            }
            m_placed.counted(counted.attempt, it.first, it.second.epoch);
            run(m_queue->restore_running(counted.attempt, it.first,
                                         counted.planned, now));
        }
    }
    m_phase = phase::complete;
    base::log(base::log_level::info, "shard_restored", {{"unit", m_unit}});
}

void job_shard_actor::restore(std::string const& job,
                              jobs::job_entry const& entry,
                              base::instant now)
{
    if (m_queue->status_of(job))
    {
        // Accepted by this owner while it was collecting.
        return;
    }
    if (may_have_run(entry))
    {
        end_job({job, model::job_state::outcome_unknown,
                 "an attempt that must not run twice may have run"});
        return;
    }
    auto const age =
        base::duration{m_node.clock.wall_us() - entry.accepted_at_us};
    m_queue->restore(job, entry.request, now - age);
    for (auto const index : entry.done)
    {
        m_queue->restore_done({job, index});
    }
}

/// A task with an intent that neither is done nor runs. Where the rack's owner
/// is the one that the order went to, it would know of the attempt had it ever
/// been started, and it refuses the order from now on. Otherwise nobody can say
/// whether it ran, so it must not run again.
bool job_shard_actor::may_have_run(jobs::job_entry const& entry) const
{
    for (auto const& it : entry.intents)
    {
        auto const& intent = it.second;
        auto const rack = m_inventories.find(intent.group);
        auto const same_owner = rack != m_inventories.end() &&
                                rack->second.epoch == intent.group_epoch;
        if (!entry.done.contains(it.first) && !same_owner &&
            !is_counted(intent.attempt))
        {
            return true;
        }
    }
    return false;
}

bool job_shard_actor::is_counted(model::attempt_id const& attempt) const
{
    return std::any_of(m_inventories.begin(), m_inventories.end(),
                       [&](auto const& it)
                       {
                           return std::any_of(
                               it.second.attempts.begin(),
                               it.second.attempts.end(),
                               [&](auto const& counted)
                               { return counted.attempt == attempt; });
                       });
}

/// The rack has a new owner. An attempt that its former owner had taken and
/// that is not in the new one's inventory does not run and never will.
void job_shard_actor::reconcile(std::string const& group,
                                group_inventory const& it)
{
    auto const now = m_node.clock.now();
    std::set<model::attempt_id> counted;
    for (auto const& one : it.attempts)
    {
        counted.insert(one.attempt);
        if (!m_placed.counted(one.attempt, group, it.epoch))
        {
            run(m_queue->restore_running(one.attempt, group, one.planned, now));
        }
    }
    for (auto const& one : m_placed.end_lost(group, it.epoch, counted))
    {
        end_attempt({one,
                     model::task_end::lapsed,
                     "",
                     {},
                     0,
                     "lost with the rack's former owner"});
    }
}

} // namespace berylhill::entry
