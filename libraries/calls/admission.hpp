#pragma once

#include <base/time.hpp>
#include <calls/call_outcome.hpp>
#include <calls/contract_limiter.hpp>
#include <calls/entry_demand.hpp>
#include <calls/generator.hpp>
#include <model/contract.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylhill::calls
{

struct admission_settings
{
    /// A larger share of a limit is used only after it has been assigned for
    /// this long, by which time every entry has received the demand behind it.
    /// At least two gossip rounds.
    base::duration settling_time{std::chrono::milliseconds{1'000}};
    /// Fraction of its even share that a home without demand keeps.
    double min_even_share_fraction{0.1};
    /// Minimum concurrency of a home, as far as the limit allows: with smaller
    /// shares, one home is exhausted while others have capacity.
    double min_calls_at_once{32};
    /// Minimum number of homes, so that the failure of one takes only its own
    /// share of the limit with it.
    std::size_t min_homes{3};
    /// A home that refused is not asked again for this long.
    base::duration exhausted_pause{std::chrono::milliseconds{50}};

    friend bool operator==(admission_settings const&,
                           admission_settings const&) = default;
};

enum class admission_state : std::uint8_t
{
    admitted, ///< Counted against the share of the limit held by `home`.
    ask_home, ///< Ask the entry `home`, which calls `admit_for`.
    refused,
};

/// What to do with a call that requests admission. A value.
struct admission_step
{
    admission_state state{admission_state::refused};
    std::string home;
    refusal why;

    friend bool operator==(admission_step const&,
                           admission_step const&) = default;
};

/// Admits calls at one entry, so that all entries together keep each contract's
/// rate, burst and concurrency. A contract has a few *homes* among the entries,
/// chosen by rendezvous hashing. The homes divide its limit by their demand,
/// which they exchange by gossip; the other entries ask one of them for each
/// call. Not thread-safe.
class admission
{
public:
    /// `entry` is the id of this entry, as in `set_live`.
    admission(std::string entry,
              admission_settings const& settings,
              generator random);

    /// Adds a contract or replaces its limits.
    void set_contract(model::contract const& it, base::instant now);

    void remove_contract(std::string const& name);

    /// Sets the live entries that share the limits, this one included. Nothing
    /// is admitted before the first call, nor until the settling time after it
    /// has passed, because the peers have not yet reduced their shares for this
    /// entry. Calls admitted for entries that are no longer live count as
    /// finished.
    void set_live(std::vector<std::string> entries, base::instant now);

    /// Stores the demand that an entry reported.
    void update_demand(entry_demand const& report);

    /// Call once per gossip round (5 per second). Recomputes the shares and
    /// returns the demand of this entry, to be sent to all live entries.
    [[nodiscard]] entry_demand update_shares(base::instant now);

    /// Returns the next step for a call of this entry that the homes in `tried`
    /// have refused. After an admission, here or at a home, call `finished`
    /// exactly once at the entry that admitted the call.
    [[nodiscard]] admission_step next(std::string const& contract,
                                      std::string const& service,
                                      std::vector<std::string> const& tried,
                                      base::instant now);

    /// Records that a home named by `next` refused or could not be reached. It
    /// is not asked again for a short time.
    void mark_home_exhausted(std::string const& contract,
                             std::string const& home,
                             base::instant now);

    /// Admits a call for another entry, as one of the contract's homes. The
    /// returned refusal always states that the call did not run.
    [[nodiscard]] std::optional<refusal> admit_for(std::string const& peer,
                                                   std::string const& contract,
                                                   std::string const& service,
                                                   base::instant now);

    /// Records that a call which this entry admitted, for itself or for `peer`,
    /// got its final answer after `took` and `resends` further attempts. Does
    /// nothing if the contract or the peer has been removed since.
    void finished(std::string const& peer,
                  std::string const& contract,
                  base::duration took,
                  std::int32_t resends,
                  base::instant now);

    /// The share of the contract's limits in force at this entry; empty for an
    /// unknown contract.
    [[nodiscard]] limit_share share_of(std::string const& contract) const;

    /// The homes of a contract; empty for an unknown contract.
    [[nodiscard]] std::vector<std::string>
    homes_of(std::string const& contract) const;

private:
    struct contract_state
    {
        contract_limiter limiter;
        /// Sorted by name.
        std::vector<std::string> homes;
        /// Keyed by home.
        std::unordered_map<std::string, contract_demand> demands;
        std::unordered_map<std::string, base::instant> exhausted_until;
        /// Calls in flight, keyed by the entry that requested admission.
        std::unordered_map<std::string, std::int64_t> admitted_for;
    };

    void select_homes(contract_state& it) const;
    void assign_share(contract_state& it, base::instant now) const;
    void release_departed(contract_state& it) const;
    [[nodiscard]] bool is_live(std::string const& entry) const;
    [[nodiscard]] std::optional<refusal>
    check_contract(std::string const& contract,
                   std::string const& service) const;

    std::string m_entry;
    admission_settings m_settings;
    generator m_random;
    std::vector<std::string> m_live;
    std::unordered_map<std::string, contract_state> m_contracts;
};

} // namespace berylhill::calls
