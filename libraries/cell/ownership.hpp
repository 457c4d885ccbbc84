#pragma once

#include <base/time.hpp>
#include <cell/log_follower.hpp>
#include <cell/owner_lookup.hpp>
#include <cell/peer_client.hpp>
#include <cell/peer_list.hpp>
#include <cell/reliable_append.hpp>
#include <cell/replica.hpp>
#include <cell/store_contact.hpp>
#include <cell/store_succession.hpp>
#include <cell/won_claim.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace berylhill::cell
{

/// The state of this process regarding ownership.
enum class ownership_state : std::uint8_t
{
    /// The log has not been read yet.
    starting,
    watching,
    /// The owner did not answer; other processes are being asked.
    suspecting,
    claiming,
    /// The claim is stored; the records before it are being read.
    restoring,
    owning,
};

/// The name of the value in logs.
[[nodiscard]] char const* name_of(ownership_state it);

/// How a watched owner was lost.
enum class owner_loss : std::uint8_t
{
    /// The connection was refused.
    refused,
    /// A restarted process answers at its address.
    restarted,
    /// No answer: the process is gone, unreachable or overloaded.
    silent,
};

/// The name of the value in logs.
[[nodiscard]] char const* name_of(owner_loss it);

/// Finds the owner of the cell's work, watches it, and claims the work when the
/// owner is gone. A claim is a record appended at the end of the cell's log, so
/// only one of two competing claims succeeds. The winner's fencing token, the
/// offset of its claim plus one, is higher than that of all owners before.
///
/// A process that does not follow the log claims first and reads the records
/// afterwards. No record of a former owner can follow the claim, because its
/// appends are refused from then on; so what is read up to the claim is
/// complete however long the reading takes. If all processes read before they
/// claim, hundreds that start at once share the store's bandwidth and none of
/// them claims for seconds.
///
/// An unnecessary claim causes a change of owner but breaks no guarantee, so
/// suspicion may be quick.
///
/// Lives on the event loop.
class ownership
{
public:
    /// Is told of changes of ownership, and connects to the rest of the
    /// process.
    class listener
    {
    public:
        listener() = default;
        listener(listener const&) = delete;
        listener& operator=(listener const&) = delete;
        virtual ~listener() = default;

        /// This process has won a claim and will read the records.
        virtual void claimed() = 0;

        /// This process now owns the work and has read the records: `records`
        /// are the newest ones before the claim.
        virtual void began(std::map<std::string, std::string> const& records,
                           won_claim const& claim) = 0;

        /// This process no longer owns the work. Also called if it has not
        /// begun.
        virtual void ended() = 0;

        /// Returns the configuration version of this process and its age.
        [[nodiscard]] virtual configuration_age configuration_here() const = 0;

        /// The process at `from` reported this configuration in the answer to a
        /// request that was sent at `asked_at`.
        virtual void
        on_configuration_reported(configuration_age const& it,
                                  base::instant asked_at,
                                  network::socket_address const& from) = 0;

        /// The owner reported this end of the instances' log in the answer to
        /// a request that was sent at `asked_at`.
        virtual void on_list_end_reported(log_end_age const& it,
                                          base::instant asked_at) = 0;
    };

    ownership(boost::asio::io_context& loop,
              base::clock const& clock,
              keyed_log& cell,
              peer_client& peers,
              store_latency& latency,
              store_contact const& store,
              peer self,
              std::string incarnation,
              listener& told);
    ownership(ownership const&) = delete;
    ownership& operator=(ownership const&) = delete;
    ~ownership();

    void start();

    /// Ownership was lost to another process.
    void lose_ownership(char const* why);

    /// Another process reported an owner.
    void on_owner_reported(owner_view const& it);

    /// Ownership was released for another process to take; this process does
    /// not claim it for `rest`. Precondition: it was the owner.
    void yield(base::duration rest);

    /// The process is stopping and has released ownership if it had it. It
    /// keeps watching, to serve remaining callers, but makes no more claims.
    void leave();

    [[nodiscard]] ownership_state state() const noexcept
    {
        return m_state;
    }

    [[nodiscard]] owner_view const& owner() const noexcept
    {
        return m_owner;
    }

    /// Whether the owner answered the last watch.
    [[nodiscard]] bool owner_heard() const noexcept
    {
        return m_state == ownership_state::owning ||
               m_state == ownership_state::restoring || m_heard;
    }

    /// Whether the owner answered the last watch and has read the records, so
    /// that it serves calls.
    [[nodiscard]] bool owner_serves() const noexcept
    {
        return m_state == ownership_state::owning ||
               (m_heard && !m_owner_restoring);
    }

    /// How many owners before this process, one after the other, handed over
    /// because they were overloaded.
    [[nodiscard]] std::uint32_t overloaded_owners() const noexcept
    {
        return m_overloaded_owners;
    }

    /// How many owners before this process, one after the other, were replaced
    /// because the store turned them away.
    [[nodiscard]] std::uint32_t replaced_owners() const noexcept
    {
        return m_replaced_owners;
    }

    /// This process gave up ownership and has not seen a successor yet.
    [[nodiscard]] bool released() const noexcept
    {
        return m_released;
    }

    /// The other processes as reported by the owner; only standbys know all of
    /// them.
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
    [[nodiscard]] store_evidence evidence() const;
    void note_contact();
    void note_stamp(std::int64_t stamp);
    void show_evidence();
    [[nodiscard]] bool act_on_trouble(watch_answer const& it);
    [[nodiscard]] watched_trouble trouble_seen(watch_answer const& it,
                                               base::instant now) const;
    void lost(owner_loss why);
    void suspect(owner_loss why);
    void suspect_alone();
    [[nodiscard]] base::duration probe_limit() const;
    void suspected();
    void probe_owner_again();
    void claim(char const* why);
    void claim_at_once(char const* why);
    [[nodiscard]] bool withhold_claim();
    void wait_for_turn();
    void find_other_claim();
    void begin_claim();
    void append_claim(std::uint64_t at);
    void claimed(reliable_append_outcome it,
                 owner_view const& claimant,
                 std::uint64_t at,
                 base::instant sent_at);
    void announce(owner_view const& former);
    void restore();
    void check_restored();
    void restored();
    void give_up_restoring();
    void run_after(base::duration pause, std::function<void()> task);
    void not_heard();
    [[nodiscard]] base::duration ownerless_for() const;
    [[nodiscard]] std::int64_t succession_rank() const;
    [[nodiscard]] bool is_standby() const;
    [[nodiscard]] base::duration watch_interval() const;
    [[nodiscard]] base::duration watch_slack() const;
    [[nodiscard]] base::duration claim_delay() const;
    [[nodiscard]] base::duration lookup_delay() const;
    void update_following();

    boost::asio::io_context& m_loop;
    base::clock const& m_clock;
    peer_client& m_peer_client;
    store_contact const& m_store;
    peer m_self;
    std::string m_incarnation;
    listener& m_listener;
    owner_lookup m_lookup;
    log_follower m_follower;
    reliable_append m_append;
    boost::asio::steady_timer m_timer;
    /// Incremented on each change of state: earlier operations are ignored.
    std::shared_ptr<std::uint64_t> m_generation{
        std::make_shared<std::uint64_t>(0)};
    replica m_replica;
    ownership_state m_state{ownership_state::starting};
    owner_view m_owner;
    named_peers m_peers;
    /// The number of processes that watch the owner.
    std::size_t m_watchers{0};
    bool m_heard{false};
    /// The owner is still reading the records.
    bool m_owner_restoring{false};
    /// The owner has just taken over and may answer late.
    bool m_owner_taking_over{false};
    bool m_leaving{false};
    bool m_released{false};
    std::uint32_t m_overloaded_owners{0};
    std::uint32_t m_replaced_owners{0};
    /// The stamp of the owner's last answer, and when it arrived.
    std::int64_t m_stamp{0};
    base::instant m_stamp_at{};
    /// This process makes no call for its evidence alone before this time.
    base::instant m_next_evidence{};
    /// When the log may next tell of a withheld claim.
    base::instant m_next_withheld_report{};
    /// See `store_evidence::served_after`.
    std::int64_t m_served_after{0};
    char const* m_claim_reason{""};
    /// When it is this process's turn to claim.
    base::instant m_turn{};
    /// This process makes no claim before this time.
    base::instant m_rests_until{};
    base::instant m_claim_began{};
    /// Before the stored claim was sent.
    base::instant m_claim_sent_at{};
    base::instant m_restore_began{};
    /// Since when this process has not heard from an owner.
    base::instant m_ownerless_since{};
    std::uint32_t m_failures{0};
    /// Consecutive rounds in which no other process answered.
    std::uint32_t m_rounds_isolated{0};
    /// Consecutive rounds in which no other process was known.
    std::uint32_t m_rounds_alone{0};
    std::size_t m_open_probes{0};
    bool m_others_hear{false};
    bool m_others_answer{false};
};

} // namespace berylhill::cell
