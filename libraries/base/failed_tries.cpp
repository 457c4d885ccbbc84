#include <base/failed_tries.hpp>

#include <cassert>

namespace berylhill::base
{

void failed_tries::add(failure const& it)
{
    m_unknown |= it.code == failure_code::outcome_unknown;
    m_last = it;
}

failure failed_tries::outcome() const
{
    assert(m_last);
    if (!m_unknown || m_last->code == failure_code::outcome_unknown)
    {
        return *m_last;
    }
    return {failure_code::outcome_unknown,
            "an earlier try got no answer; the last one: " + m_last->message,
            m_last->retry_after_s};
}

} // namespace berylhill::base
