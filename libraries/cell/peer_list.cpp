#include <cell/peer_list.hpp>

#include <base/hash.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// Size limit of the list sent to processes that are not standbys. Losing more
/// processes together with the owner and its standbys takes a power failure,
/// after which the list is useless.
constexpr std::size_t max_listed_peers = 64;

constexpr base::duration min_wait = std::chrono::milliseconds{250};
constexpr base::duration max_wait = std::chrono::milliseconds{1'000};
constexpr base::duration wait_per_watcher = std::chrono::microseconds{2'500};

/// Keeps the digest exactly representable as a JSON number.
constexpr std::uint64_t digest_mask = (std::uint64_t{1} << 52U) - 1;

named_peers digested(std::vector<peer> it)
{
    std::string text;
    for (auto const& each : it)
    {
        text += each.instance + ' ' + text_of(each.address) + ' ' +
                std::to_string(each.millicores) + '\n';
    }
    auto const digest =
        it.empty()
            ? 0
            : static_cast<std::int64_t>(base::hash_of(text) & digest_mask) + 1;
    return {std::move(it), digest};
}

} // namespace

base::duration watch_wait(std::size_t watchers)
{
    return std::clamp<base::duration>(wait_per_watcher *
                                          static_cast<std::int64_t>(watchers),
                                      min_wait, max_wait);
}

void peer_list::set(std::vector<peer> all)
{
    std::ranges::sort(all, comes_before);
    if (all == m_whole.peers)
    {
        return;
    }
    m_first = digested(
        {all.begin(), all.begin() + static_cast<std::ptrdiff_t>(std::min(
                                        all.size(), max_listed_peers))});
    m_whole = digested(std::move(all));
}

named_peers const& peer_list::known_to(peer const& asker) const
{
    auto const& all = m_whole.peers;
    auto const n = std::min<std::size_t>(all.size(), standby_count);
    auto const end = all.begin() + static_cast<std::ptrdiff_t>(n);
    return std::find(all.begin(), end, asker) != end ? m_whole : m_first;
}

} // namespace berylhill::cell
