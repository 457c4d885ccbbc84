#include <cell/configuration_spread.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// A process that read the store so recently is let read the new version
/// there: all read it at about the same time, and would all ask one.
constexpr base::duration recent_read = std::chrono::milliseconds{1'200};
constexpr base::duration read_takes = std::chrono::milliseconds{200};

/// What was never confirmed is older than any limit.
constexpr base::duration unconfirmed = std::chrono::hours{1};

} // namespace

void configuration_spread::confirm(base::instant at)
{
    m_confirmed_at = std::max(m_confirmed_at.value_or(at), at);
    m_behind_since.reset();
}

bool configuration_spread::heard(configuration_age const& it,
                                 std::int64_t own,
                                 base::instant now)
{
    if (it.version == own && own != 0)
    {
        confirm(now - it.age);
        return false;
    }
    if (it.version <= own)
    {
        return false;
    }
    m_newest = std::max(m_newest, it.version);
    m_behind_since = m_behind_since.value_or(now);
    auto const reads_itself = age(now) < recent_read;
    if (m_fetching || (reads_itself && now - *m_behind_since < read_takes))
    {
        return false;
    }
    m_fetching = true;
    return true;
}

void configuration_spread::has(std::int64_t version)
{
    if (version >= m_newest)
    {
        m_behind_since.reset();
    }
}

base::duration configuration_spread::behind(base::instant now) const
{
    return m_behind_since ? now - *m_behind_since : base::duration{0};
}

base::duration configuration_spread::age(base::instant now) const
{
    return m_confirmed_at ? now - *m_confirmed_at : unconfirmed;
}

} // namespace berylhill::cell
