#include <cell/configuration_propagation.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// A process that has read the store this recently is given `usual_read_time`
/// to read the new version itself: all processes read it at about the same
/// time, and all would fetch it from one process.
constexpr base::duration recent_read = std::chrono::milliseconds{1'200};
constexpr base::duration usual_read_time = std::chrono::milliseconds{200};

/// Time to the first byte of a fetched configuration, doubled after each
/// failure up to the limit.
constexpr base::duration min_fetch_timeout = std::chrono::milliseconds{600};
constexpr base::duration max_fetch_timeout = std::chrono::milliseconds{2'400};

/// Age of a version that was never confirmed: above any limit.
constexpr base::duration unconfirmed_age = std::chrono::hours{1};

} // namespace

configuration_propagation::configuration_propagation()
    : m_fetch_timeout{min_fetch_timeout}
{
}

void configuration_propagation::confirm(base::instant at)
{
    m_confirmed_at = std::max(m_confirmed_at.value_or(at), at);
}

bool configuration_propagation::on_version_heard(configuration_age const& it,
                                                 base::instant asked_at,
                                                 std::int64_t own,
                                                 base::instant now)
{
    if (it.version == own && own != 0)
    {
        confirm(asked_at - it.age);
    }
    return on_version_heard(it.version, own, now);
}

bool configuration_propagation::on_version_heard(std::int64_t version,
                                                 std::int64_t own,
                                                 base::instant now)
{
    if (version <= own)
    {
        return false;
    }
    m_newest = std::max(m_newest, version);
    m_behind_since = m_behind_since.value_or(now);
    auto const reads_itself = age(now) < recent_read;
    if (m_fetching || (reads_itself && now - *m_behind_since < usual_read_time))
    {
        return false;
    }
    m_fetching = true;
    return true;
}

void configuration_propagation::on_fetch_ended(fetch_outcome it)
{
    m_fetching = false;
    if (it == fetch_outcome::received)
    {
        m_fetch_timeout = min_fetch_timeout;
    }
    if (it == fetch_outcome::failed)
    {
        m_fetch_timeout = std::min(2 * m_fetch_timeout, max_fetch_timeout);
    }
}

void configuration_propagation::on_version_installed(std::int64_t version)
{
    if (version >= m_newest)
    {
        m_behind_since.reset();
    }
}

base::duration configuration_propagation::behind(base::instant now) const
{
    return m_behind_since ? now - *m_behind_since : base::duration{0};
}

base::duration configuration_propagation::age(base::instant now) const
{
    return m_confirmed_at ? now - *m_confirmed_at : unconfirmed_age;
}

} // namespace berylhill::cell
