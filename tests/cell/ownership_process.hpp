#pragma once

#include "fake_log.hpp"

#include <cell/observed_log.hpp>
#include <cell/ownership.hpp>
#include <cell/peer_client.hpp>
#include <cell/peer_messages.hpp>
#include <cell/peer_paths.hpp>
#include <cell/store_handover.hpp>
#include <network/http_client.hpp>
#include <network/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::cell_test
{

/// A loopback address that nothing listens at.
inline network::socket_address free_address()
{
    boost::asio::io_context own;
    boost::asio::ip::tcp::acceptor acceptor{
        own, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// Returns whether the server listens at the address now.
inline bool listens(network::http_server& it, network::socket_address const& at)
{
    return base::capture(
               [&]() -> base::result<base::done>
               {
                   BOOST_LEAF_CHECK(it.listen(at));
                   return base::done{};
               })
        .has_value();
}

/// Which calls of a process the store serves.
struct store_reach
{
    bool reads{true};
    bool appends{true};
    /// What it does not serve it answers with a refusal, or not at all.
    bool refuses{true};
    /// How many of the calls get no answer, in percent.
    unsigned lost_percent{0};
};

/// A process's connection to the shared log, at which the store may turn it
/// away.
class store_link final : public cell::keyed_log
{
public:
    store_link(boost::asio::io_context& loop,
               fake_log& log,
               store_reach const& reach,
               std::size_t& reads_refused)
        : m_loop{loop}
        , m_log{log}
        , m_reach{reach}
        , m_reads_refused{reads_refused}
    {
    }

    void append(std::uint64_t at,
                std::vector<scheduler::record> const& records,
                base::duration timeout,
                cell::append_handler handler) override
    {
        if (m_reach.appends && !loses())
        {
            m_log.append(at, records, timeout, std::move(handler));
            return;
        }
        cell::append_result out;
        out.outcome = m_reach.refuses && !m_reach.appends
                          ? cell::append_outcome::refused
                          : cell::append_outcome::unanswered;
        end_after(timeout,
                  [handler = std::move(handler), out] { handler(out); });
    }

    network::call_handle read(cell::read_request const& it,
                              cell::read_handler handler) override
    {
        if (m_reach.reads && !loses())
        {
            return m_log.read(it, std::move(handler));
        }
        end_after(it.timeouts.begin,
                  [handler = std::move(handler)] { handler({}); });
        return {};
    }

    void read_newest(std::string const& after,
                     network::call_patience const& patience,
                     cell::newest_handler handler) override
    {
        if (m_reach.reads && !loses())
        {
            m_log.read_newest(after, patience, std::move(handler));
            return;
        }
        ++m_reads_refused;
        end_after(patience.begin,
                  [handler = std::move(handler)] { handler({}); });
    }

private:
    bool loses()
    {
        return m_chance(m_random) <= m_reach.lost_percent;
    }

    void end_after(base::duration timeout, std::function<void()> end)
    {
        auto const refused = m_reach.refuses && m_reach.lost_percent == 0;
        auto const timer = std::make_shared<boost::asio::steady_timer>(
            m_loop, refused ? base::duration{0} : timeout);
        timer->async_wait([timer, end = std::move(end)](auto) { end(); });
    }

    boost::asio::io_context& m_loop;
    fake_log& m_log;
    store_reach const& m_reach;
    std::size_t& m_reads_refused;
    std::minstd_rand m_random;
    std::uniform_int_distribution<unsigned> m_chance{1, 100};
};

/// What a process began to own.
struct takeover
{
    std::map<std::string, std::string> records;
    std::uint64_t token{0};
    std::uint64_t next{0};
};

/// Keeps what ownership reports.
struct recording_listener final : cell::ownership::listener
{
    [[nodiscard]] cell::configuration_age configuration_here() const override
    {
        return {};
    }

    void on_configuration_reported(cell::configuration_age const&,
                                   base::instant,
                                   network::socket_address const&) override
    {
    }

    void on_list_end_reported(cell::log_end_age const&, base::instant) override
    {
    }

    void began(std::map<std::string, std::string> const& records,
               cell::won_claim const& claim) override
    {
        takeovers.push_back({records, claim.token, claim.next});
    }

    void claimed() override
    {
        if (on_claimed)
        {
            on_claimed();
        }
    }

    void ended() override
    {
        ++ends;
        if (on_ended)
        {
            on_ended();
        }
    }

    std::function<void()> on_claimed;
    std::function<void()> on_ended;

    std::vector<takeover> takeovers;
    std::size_t ends{0};
};

/// One process of a cell that claims, and answers the others' watches. Lives on
/// the test's loop.
struct ownership_process final : cell::store_handover::process
{
    ownership_process(boost::asio::io_context& loop,
                      fake_log& log,
                      std::string name)
        : self{std::move(name), free_address(), 250}
        , server{loop,
                 [this](auto const& it, network::responder answer)
                 {
                     answer_watch(it, answer);
                 }}
        , http{loop, {}}
        , observed{std::make_unique<store_link>(
                       loop, log, reach, reads_refused),
                   clock, store}
        , handover{loop, clock, observed, store, *this}
        , owner{loop,  clock, observed,      peers,   latency,
                store, self,  self.instance, listener}
    {
        if (!listens(server, self.address))
        {
            throw std::runtime_error{"no listener at " +
                                     network::text_of(self.address)};
        }
        listener.on_claimed = [this]
        {
            handover.claimed();
        };
        listener.on_ended = [this]
        {
            handover.ended();
        };
    }

    [[nodiscard]] bool owns() const
    {
        return owner.state() == cell::ownership_state::owning ||
               owner.state() == cell::ownership_state::restoring;
    }

    [[nodiscard]] std::optional<cell::store_trouble> trouble() const override
    {
        if (!owns())
        {
            return std::nullopt;
        }
        return cell::trouble_of({store.outage(), store.reads_served_since(),
                                 owner.state() == cell::ownership_state::owning,
                                 stuck(), owner.replaced_owners()},
                                clock.now());
    }

    /// For how long no append was stored.
    [[nodiscard]] base::duration stuck() const
    {
        return stuck_since ? clock.now() - *stuck_since : base::duration{0};
    }

    /// Appends a record as an owner does.
    void write(std::uint64_t at)
    {
        stuck_since = stuck_since.value_or(clock.now());
        observed.append(at, {{"j:1", "x"}}, std::chrono::seconds{2},
                        [this](cell::append_result const& it)
                        {
                            if (it.outcome == cell::append_outcome::stored)
                            {
                                stuck_since.reset();
                            }
                        });
    }

    /// Watches are answered at once.
    void wake_watchers() override
    {
        ++wakes;
    }
    void wake_watcher(cell::peer const&) override {}

    void on_owner_found(cell::owner_view const& it) override
    {
        owner.on_owner_reported(it);
    }

    void hear_announcement(network::http_request const& it,
                           network::responder const& answer)
    {
        auto const announced =
            base::capture([&] { return cell::parse_owner(it.body); });
        if (answers && announced)
        {
            answer({200, {}, "{}"});
            owner.on_owner_reported(announced.value());
        }
    }

    void answer_watch(network::http_request const& it,
                      network::responder const& answer)
    {
        if (it.target.starts_with(cell::peer_paths::owner))
        {
            hear_announcement(it, answer);
            return;
        }
        auto const from =
            base::capture([&] { return cell::parse_watch_request(it.body); });
        if (from && !older_release)
        {
            handover.heard(from.value().from, from.value().store);
        }
        cell::watch_answer out;
        if (!older_release)
        {
            out.stamp = clock.now().time_since_epoch().count();
            out.asks_evidence = handover.in_trouble();
            out.replaced_owners = owner.replaced_owners();
            if (auto const& successor = handover.successor(); successor)
            {
                out.successor = successor->address;
            }
        }
        out.store_stuck = stuck();
        out.store_refuses = stuck() > base::duration{0} && reach.refuses;
        out.owns = owns();
        out.leaving = owner.released() && !out.owns;
        out.owner = owner.owner();
        out.owner_heard = owner.owner_heard();
        if (answers)
        {
            answer({200, {}, cell::text_of(out)});
        }
    }

    cell::peer self;
    network::http_server server;
    base::system_clock clock;
    network::http_client http;
    cell::peer_client peers{http};
    cell::store_latency latency;
    /// Whether the store serves this process.
    store_reach reach;
    /// How many of its lookups had no answer.
    std::size_t reads_refused{0};
    cell::store_contact store;
    cell::observed_log observed;
    cell::store_handover handover;
    recording_listener listener;
    cell::ownership owner;
    /// Whether it answers watches.
    bool answers{true};
    /// Whether it knows nothing of evidence and successors.
    bool older_release{false};
    std::optional<base::instant> stuck_since;
    /// How often it answered all watches.
    std::size_t wakes{0};
};

} // namespace berylhill::cell_test
