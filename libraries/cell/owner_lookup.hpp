#pragma once

#include <cell/keyed_log.hpp>
#include <cell/peer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace berylhill::cell
{

/// The key of the owner's claim in the cell's log. It comes after the keys of
/// all jobs in the order in which the store pages them, so that the claim can
/// be read without them.
inline constexpr char const* owner_key = "~owner";

/// What comes right before it.
inline constexpr char const* before_owner_key = "~";

/// The claim in a record's value. One that cannot be read is logged, and
/// counts as none: its token is 0.
[[nodiscard]] owner_view claim_of(std::string const& value);

/// Finds the owner of the newest claim without reading the jobs' records.
///
/// Guards against a start of all processes at once: where each read all
/// records to find the one, megabytes a process, a page took longer on the
/// link of a small machine than its read was given, so that it never knew an
/// owner and refused all its callers.
///
/// Lives on the event loop.
class owner_lookup
{
public:
    /// The claim, with token 0 where there is none; nothing where the store
    /// gave no answer.
    using handler = std::function<void(std::optional<owner_view> const&)>;

    explicit owner_lookup(keyed_log& cell);
    owner_lookup(owner_lookup const&) = delete;
    owner_lookup& operator=(owner_lookup const&) = delete;
    ~owner_lookup();

    /// `done` is called once, never from within; not at all once another look
    /// has begun or this object has ended.
    void look(handler done);

private:
    void read_after(std::string const& key, handler done);

    keyed_log& m_cell;
    /// How long the next look is waited for.
    base::duration m_patience;
    std::shared_ptr<std::uint64_t> m_generation{
        std::make_shared<std::uint64_t>(0)};
};

} // namespace berylhill::cell
