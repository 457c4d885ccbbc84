#pragma once

#include <cell/keyed_log.hpp>
#include <cell/peer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace berylhill::cell
{

/// The key of the owner's claim in the cell's log. It sorts after the keys of
/// all jobs, so that the claim can be read without them.
inline constexpr char const* owner_key = "~owner";

/// The largest key before `owner_key` in the order of pages.
inline constexpr char const* before_owner_key = "~";

/// Parses a claim. An unreadable claim is logged and treated as no claim: its
/// token is 0.
[[nodiscard]] owner_view claim_of(std::string const& value);

/// The newest claim, and where the log ended when it was read. A value.
struct found_claim
{
    /// Its token is 0 if there is no claim.
    owner_view owner;
    std::uint64_t log_end{0};

    friend bool operator==(found_claim const&, found_claim const&) = default;
};

/// Finds the owner by the newest claim without reading the jobs' records.
///
/// When all processes started at once and each read all records, megabytes per
/// process, a page took longer on the link of a small machine than the read
/// timeout, so that the machine never found the owner and refused all its
/// callers.
///
/// Lives on the event loop.
class owner_lookup
{
public:
    /// Called with nothing if the store did not answer.
    using handler = std::function<void(std::optional<found_claim> const&)>;

    explicit owner_lookup(keyed_log& cell);
    owner_lookup(owner_lookup const&) = delete;
    owner_lookup& operator=(owner_lookup const&) = delete;
    ~owner_lookup();

    /// `done` is called once, never from within this call; it is not called if
    /// another lookup starts or this object is destroyed first.
    void find(handler done);

private:
    void read_after(std::string const& key, handler done);

    keyed_log& m_cell;
    /// Timeout of the next lookup.
    base::duration m_timeout;
    std::shared_ptr<std::uint64_t> m_generation{
        std::make_shared<std::uint64_t>(0)};
};

} // namespace berylhill::cell
