#include <entry/failed_tries.hpp>

#include <cassert>

namespace berylhill::entry
{

void failed_tries::add(base::failure const& it)
{
    m_unknown |= it.code == base::failure_code::outcome_unknown;
    m_last = it;
}

base::failure failed_tries::outcome() const
{
    assert(m_last);
    if (!m_unknown || m_last->code == base::failure_code::outcome_unknown)
    {
        return *m_last;
    }
    return {base::failure_code::outcome_unknown,
            "an earlier try got no answer; the last one: " + m_last->message,
            m_last->retry_after_s};
}

} // namespace berylhill::entry
