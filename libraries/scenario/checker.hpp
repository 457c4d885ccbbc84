#pragma once

#include <scenario/event.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace berylhill::scenario
{

/// A promise that did not hold, and when.
struct breach
{
    std::string promise;
    std::int64_t at_us{0};
    std::string message;

    friend bool operator==(breach const&, breach const&) = default;
};

/// Holds one promise against a whole history. Checkers read only what the
/// stand-ins, the callers and the runner wrote down, and share no code with
/// the product's decisions.
class checker
{
public:
    checker() = default;
    checker(checker const&) = delete;
    checker& operator=(checker const&) = delete;
    virtual ~checker() = default;

    [[nodiscard]] virtual std::string name() const = 0;

    /// Precondition: `seen` is in the order of its times.
    [[nodiscard]] virtual std::vector<breach>
    check(timeline const& seen) const = 0;
};

using checker_pointer = std::unique_ptr<checker const>;

/// No worker has more planned than it holds, no minion more calls than slots.
[[nodiscard]] checker_pointer never_overfull();

/// The runs of one task's attempts do not overlap.
[[nodiscard]] checker_pointer never_in_two_places();

/// A call that was answered got the whole answer to its own request.
[[nodiscard]] checker_pointer whole_answers();

/// What was refused as not run was begun nowhere.
[[nodiscard]] checker_pointer refusals_are_true();

/// A non-idempotent call or task was begun at most once.
[[nodiscard]] checker_pointer at_most_once();

/// A leaving endpoint gets nothing new two seconds after it was announced (and
/// the list's lag, where only the list says so).
[[nodiscard]] checker_pointer leaving_gets_no_work();

/// No planned stop cuts off a call, a task or a worker's lease, and a stopped
/// entry ends by itself.
[[nodiscard]] checker_pointer stops_are_graceful();

/// An accepted configuration is seen on every entry within eight seconds, at
/// one offset all see the same, and no entry goes back.
[[nodiscard]] checker_pointer configuration_holds();

/// The eight of them, in the order of the brief.
[[nodiscard]] std::vector<checker_pointer> all_checkers();

/// What all of them find. Precondition: as `checker::check`.
[[nodiscard]] std::vector<breach> check_all(timeline const& seen);

} // namespace berylhill::scenario
