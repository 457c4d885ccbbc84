#pragma once

#include <base/time.hpp>
#include <cell/log_follower.hpp>
#include <cell/owner_lookup.hpp>
#include <cell/peer_client.hpp>
#include <cell/peer_list.hpp>
#include <cell/reliable_append.hpp>
#include <cell/replica.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace berylhill::cell
{

/// What the process does about ownership at the moment.
enum class ownership_state : std::uint8_t
{
    /// The log has not been read yet.
    starting,
    watching,
    /// The owner gave no answer; the others are asked.
    suspecting,
    claiming,
    owning,
};

/// How an owner that was watched was lost.
enum class owner_loss : std::uint8_t
{
    /// Nothing listens at its address.
    refused,
    /// Another life answers there.
    restarted,
    /// No answer: it is gone, cut off or overloaded.
    silent,
};

/// For logs.
[[nodiscard]] char const* name_of(owner_loss it);

/// Finds the owner of the cell's work, watches it, and claims the work when
/// it is gone. A claim is a record at the end of the cell's log, so of two
/// claims one wins; the winner's token, the offset of its claim plus one, is
/// above that of all owners before. A needless claim costs a change of owner
/// but nothing that must hold, so suspicion may be quick.
///
/// Lives on the event loop.
class ownership
{
public:
    /// What becoming the owner means to the rest of the process.
    class listener
    {
    public:
        listener() = default;
        listener(listener const&) = delete;
        listener& operator=(listener const&) = delete;
        virtual ~listener() = default;

        /// This process owns the work. `next` is the offset that follows its
        /// claim.
        virtual void began(std::map<std::string, std::string> const& records,
                           std::uint64_t token,
                           std::uint64_t next) = 0;

        /// It owns it no longer.
        virtual void ended() = 0;

        /// The configuration that this process has.
        [[nodiscard]] virtual configuration_age configuration_here() const = 0;

        /// The process at this address says that it has this configuration, in
        /// answer to a question that was sent at `asked_at`.
        virtual void heard_of(configuration_age const& it,
                              base::instant asked_at,
                              network::socket_address const& from) = 0;
    };

    ownership(boost::asio::io_context& loop,
              base::clock const& clock,
              keyed_log& cell,
              peer_client& peers,
              store_latency& latency,
              peer self,
              std::string incarnation,
              listener& told);
    ownership(ownership const&) = delete;
    ownership& operator=(ownership const&) = delete;
    ~ownership();

    void start();

    /// The right was lost to another owner.
    void lose_ownership(char const* why);

    /// Another process tells who owns.
    void heard_of(owner_view const& it);

    /// The right was given up for another process to take; this one claims
    /// nothing for `rest`. Precondition: it owned.
    void yield(base::duration rest);

    /// The process ends; the right, if it has it, was given up. It goes on
    /// watching, for callers that still come, and claims nothing any more.
    void leave();

    [[nodiscard]] ownership_state state() const noexcept
    {
        return m_state;
    }

    [[nodiscard]] owner_view const& owner() const noexcept
    {
        return m_owner;
    }

    /// The owner answered the last watch.
    [[nodiscard]] bool owner_heard() const noexcept
    {
        return m_state == ownership_state::owning || m_heard;
    }

    /// The others, as the owner names them: to the standbys all.
    [[nodiscard]] std::vector<peer> const& peers() const noexcept
    {
        return m_peers.peers;
    }

    [[nodiscard]] replica const& records() const noexcept
    {
        return m_replica;
    }

private:
    void find_owner();
    void owner_found(owner_view const& it);
    void adopt(owner_view const& it);
    void watch(base::duration wait);
    void watched(peer_result<watch_answer> const& it, base::instant asked_at);
    void lost(owner_loss why);
    void suspect(owner_loss why);
    void suspect_alone();
    [[nodiscard]] base::duration probe_limit() const;
    void suspected();
    void probe_owner_again();
    void claim(char const* why);
    void look_before_claim();
    void claim_now();
    void claimed(reliable_append_outcome it,
                 owner_view const& mine,
                 std::uint64_t at);
    void again(base::duration pause, std::function<void()> what);
    [[nodiscard]] std::int64_t succession_rank() const;
    [[nodiscard]] base::duration watch_interval() const;
    [[nodiscard]] base::duration claim_delay() const;
    void update_following();

    boost::asio::io_context& m_loop;
    base::clock const& m_clock;
    peer_client& m_peer_client;
    peer m_self;
    std::string m_incarnation;
    listener& m_listener;
    owner_lookup m_lookup;
    log_follower m_follower;
    reliable_append m_append;
    boost::asio::steady_timer m_timer;
    /// Bumped on each change of state: what was under way before is ignored.
    std::shared_ptr<std::uint64_t> m_generation{
        std::make_shared<std::uint64_t>(0)};
    replica m_replica;
    ownership_state m_state{ownership_state::starting};
    owner_view m_owner;
    named_peers m_peers;
    /// How many processes watch the owner.
    std::size_t m_watchers{0};
    bool m_heard{false};
    bool m_leaving{false};
    base::instant m_claim_began{};
    std::uint32_t m_failures{0};
    /// Rounds in which none of the others answered.
    std::uint32_t m_rounds_isolated{0};
    /// Rounds in which it knew no others to ask.
    std::uint32_t m_rounds_alone{0};
    std::size_t m_open_probes{0};
    bool m_others_hear{false};
    bool m_others_answer{false};
};

} // namespace berylhill::cell
