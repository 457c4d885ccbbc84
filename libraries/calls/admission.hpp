#pragma once

#include <base/time.hpp>
#include <calls/call_outcome.hpp>
#include <calls/contract_gate.hpp>
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
    /// A larger part of a limit is used only after it was ours for so long,
    /// by when every entry has heard of it. At least two gossip rounds.
    base::duration settling_time{std::chrono::milliseconds{1'000}};
    /// The part of its even share that a home without demand keeps.
    double floor{0.1};
    /// Calls at once that a home has at least, as far as the limit goes: cut
    /// smaller, one part is used up while others have room.
    double least_at_once{32};
    /// Homes at least, so that one that dies takes only its part along.
    std::size_t least_homes{3};
    /// A home that refused is not asked again for so long.
    base::duration exhausted_for{std::chrono::milliseconds{50}};

    friend bool operator==(admission_settings const&,
                           admission_settings const&) = default;
};

enum class admission_state : std::uint8_t
{
    admitted, ///< Against the part of the limit that is in `home`'s hands.
    ask_home, ///< Ask the entry `home`, which calls `admit_for`.
    refused,
};

/// What to do with a call that asks to be admitted. A value.
struct admission_step
{
    admission_state state{admission_state::refused};
    std::string home;
    refusal why;

    friend bool operator==(admission_step const&,
                           admission_step const&) = default;
};

/// Admits calls at one entry, so that all entries together keep each
/// contract's rate, burst and concurrency. A contract has a few *homes* among
/// the entries, by rendezvous hashing; they divide its limit by their demand,
/// which they gossip, and the others ask one of them for each call. Not
/// thread-safe.
class admission
{
public:
    /// `entry` is this entry's own id, as in `set_live`.
    admission(std::string entry,
              admission_settings const& settings,
              generator random);

    /// A contract came into force or changed.
    void set_contract(model::contract const& it, base::instant now);

    void remove_contract(std::string const& name);

    /// The live entries that share the limits, this one included. Until the
    /// first call nothing is admitted, and then not before the settling time
    /// has passed: peers have not yet given up a part for this entry. Calls
    /// admitted for entries that are gone count as ended.
    void set_live(std::vector<std::string> entries, base::instant now);

    /// A peer's report came.
    void update_demand(entry_demand const& report);

    /// Once a gossip round (5 a second): works out the shares anew and returns
    /// this entry's demand, to be sent to all live entries.
    [[nodiscard]] entry_demand update_shares(base::instant now);

    /// The next step for a call of this entry that has asked the homes in
    /// `tried` in vain. After `admitted`, here or at the home, `finished`
    /// follows once, at the same entry.
    [[nodiscard]] admission_step next(std::string const& contract,
                                      std::string const& service,
                                      std::vector<std::string> const& tried,
                                      base::instant now);

    /// A home that `next` named refused or could not be reached: it is not
    /// asked for a moment.
    void mark_home_exhausted(std::string const& contract,
                             std::string const& home,
                             base::instant now);

    /// Another entry asks this one, as a home. Refuses as not run.
    [[nodiscard]] std::optional<refusal> admit_for(std::string const& peer,
                                                   std::string const& contract,
                                                   std::string const& service,
                                                   base::instant now);

    /// A call that this entry admitted, for itself or for `peer`, got its
    /// final answer after `took` and `resends` further attempts. Nothing
    /// happens when the contract or the peer is gone meanwhile.
    void finished(std::string const& peer,
                  std::string const& contract,
                  base::duration took,
                  std::int32_t resends,
                  base::instant now);

    /// The part of the contract's limits in force here; empty for a contract
    /// that is not known.
    [[nodiscard]] limit_part part_of(std::string const& contract) const;

    /// The homes of a contract; empty for one that is not known.
    [[nodiscard]] std::vector<std::string>
    homes_of(std::string const& contract) const;

private:
    struct contract_state
    {
        contract_gate gate;
        /// Sorted by name.
        std::vector<std::string> homes;
        /// By home.
        std::unordered_map<std::string, contract_demand> demands;
        std::unordered_map<std::string, base::instant> exhausted_until;
        /// Calls in flight by the entry that asked.
        std::unordered_map<std::string, std::int64_t> admitted_for;
    };

    void place(contract_state& it) const;
    void divide(contract_state& it, base::instant now) const;
    void forget_gone(contract_state& it) const;
    [[nodiscard]] bool is_live(std::string const& entry) const;
    [[nodiscard]] std::optional<refusal>
    forbidden(std::string const& contract, std::string const& service) const;

    std::string m_entry;
    admission_settings m_settings;
    generator m_random;
    std::vector<std::string> m_live;
    std::unordered_map<std::string, contract_state> m_contracts;
};

} // namespace berylhill::calls
