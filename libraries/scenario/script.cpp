#include <scenario/script.hpp>

#include <scenario/form.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace berylhill::scenario
{

namespace
{

std::vector<form> const& forms()
{
    static std::vector<form> const s_forms{
        {action::entries, "entries <count:number>"},
        {action::workers,
         "workers <count:number> cores <cores:number> memory <memory:number> "
         "racks <racks:number> zone <zone:word>"},
        {action::minions, "minions <count:number> service <service:word>"},
        {action::contract, "contract <file:word>"},
        {action::race, "race <first:word> <second:word>"},
        {action::calls,
         "calls <count:number> service <service:word> rate <rate:number> "
         "contract <contract:word> <safety:idempotent|once>"},
        {action::jobs,
         "jobs <count:number> tag <tag:word> contract <contract:word> kind "
         "<kind:batch|gang|service> tasks <tasks:number> cores <cores:number> "
         "memory <memory:number> run <run:duration> "
         "<safety:idempotent|once> <urgency:normal|urgent>"},
        {action::cancel, "cancel <count:number> jobs tag <tag:word>"},
        {action::wait, "wait <time:duration>"},
        {action::kill_entry, "kill entry <entry:number>"},
        {action::freeze_entry, "freeze entry <entry:number>"},
        {action::thaw_entry, "thaw entry <entry:number>"},
        {action::start_entry, "start entry <entry:number>"},
        {action::stop_entry, "stop entry <entry:number>"},
        {action::log_fault, "log <fault:down|up>"},
        {action::log_slow, "log slow <time:duration>"},
        {action::log_lose, "log lose <share:percent> <when:before|after>"},
        {action::list_fault, "list <fault:freeze|thaw>"},
        {action::worker_cut, "worker <id:word> cut <way:in|out>"},
        {action::worker_fault,
         "worker <id:word> <fault:heal|fail|frozen|restart|gone>"},
        {action::minion_slow, "minion <id:word> slow <time:duration>"},
        {action::minion_fault,
         "minion <id:word> <fault:heal|silent|crossed|truncated|fail|refuse>"},
        {action::announce, "announce <kind:worker|minion> <id:word>"},
        {action::expect_answered,
         "expect calls answered <count:number> within <time:duration>"},
        {action::expect_refused, "expect calls refused at-most <count:number>"},
        {action::expect_succeeded,
         "expect jobs succeeded <count:number> within <time:duration>"},
        {action::expect_cancelled,
         "expect jobs cancelled <count:number> within <time:duration>"},
        {action::expect_in_force, "expect in-force within <time:duration>"},
        {action::expect_ready,
         "expect entries ready <count:number> within <time:duration>"},
        {action::expect_promises, "expect promises"},
    };
    return s_forms;
}

std::vector<std::string> verbs()
{
    std::vector<std::string> all;
    for (auto const& it : forms())
    {
        all.push_back(it.verb());
    }
    return all;
}

bool about_entry(action it)
{
    constexpr std::array all{action::kill_entry, action::freeze_entry,
                             action::thaw_entry, action::start_entry,
                             action::stop_entry};
    return std::find(all.begin(), all.end(), it) != all.end();
}

/// Reads line by line, so that a mistake in one hides none in the others.
class script_reader
{
public:
    script_reader(std::string const& source, base::findings& found)
        : m_found{found}
    {
        m_script.source = source;
    }

    void read_line(std::size_t line, std::string_view text)
    {
        auto const tokens = tokens_of(text);
        if (tokens.empty())
        {
            return;
        }
        form_match best;
        for (auto const& it : forms())
        {
            auto match = it.match(tokens);
            if (!match.mistake)
            {
                m_script.statements.push_back({it.what(), line,
                                               std::string{text},
                                               std::move(match.arguments)});
                return;
            }
            keep_better(std::move(match), best);
        }
        add(line, best.agreed == 0 ? unknown_verb(tokens.front())
                                   : explained(best, tokens));
    }

    script finish()
    {
        check_entries();
        check_order();
        return std::move(m_script);
    }

private:
    /// Forms that agree equally far are all what could have been meant.
    static void keep_better(form_match match, form_match& best)
    {
        if (match.agreed == best.agreed && !best.words.empty())
        {
            best.words.insert(best.words.end(), match.words.begin(),
                              match.words.end());
        }
        if (match.agreed > best.agreed)
        {
            best = std::move(match);
        }
    }

    static base::finding explained(form_match const& it,
                                   std::vector<token> const& tokens)
    {
        auto mistake = *it.mistake;
        if (!it.words.empty())
        {
            mistake.message = explain(it.words, tokens[it.agreed].text);
        }
        return mistake;
    }

    static base::finding unknown_verb(token const& it)
    {
        auto const meant = base::nearest_name(it.text, verbs());
        return {{},
                0,
                "column " + std::to_string(it.column),
                "'" + it.text + "' is no statement" +
                    (meant.empty() ? "" : "; " + meant + "?")};
    }

    void add(std::size_t line, base::finding it)
    {
        it.source = m_script.source;
        it.line = line;
        m_found.add(std::move(it));
    }

    void check_entries()
    {
        int count = 0;
        for (auto const& it : m_script.statements)
        {
            if (it.what == action::entries)
            {
                count = it.count("count");
            }
            if (about_entry(it.what) &&
                (it.count("entry") < 1 || it.count("entry") > count))
            {
                add(it.line,
                    {{},
                     0,
                     "column " +
                         std::to_string(it.arguments.at("entry").column),
                     "there are " + std::to_string(count) + " entries"});
            }
        }
        if (count == 0)
        {
            add(0, {{}, 0, "", "no line says how many entries there are"});
        }
    }

    void check_order()
    {
        bool begun = false;
        for (auto const& it : m_script.statements)
        {
            auto const sets_up = it.what == action::entries ||
                                 it.what == action::workers ||
                                 it.what == action::minions;
            if (sets_up && begun)
            {
                add(it.line, {{},
                              0,
                              "column 1",
                              "entries, workers and minions come before "
                              "everything else"});
            }
            begun = begun || !sets_up;
        }
    }

    base::findings& m_found;
    script m_script;
};

} // namespace

std::string const& statement::word(std::string const& name) const
{
    auto const it = arguments.find(name);
    assert(it != arguments.end());
    return it->second.text;
}

double statement::number(std::string const& name) const
{
    auto const it = arguments.find(name);
    assert(it != arguments.end());
    return it->second.value;
}

int statement::count(std::string const& name) const
{
    return static_cast<int>(number(name));
}

script read_script(std::string const& source,
                   std::string_view text,
                   base::findings& found)
{
    script_reader reader{source, found};
    for (std::size_t line = 1; !text.empty(); ++line)
    {
        auto const end = text.find('\n');
        reader.read_line(line, text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size()
                                                         : end + 1);
    }
    return reader.finish();
}

std::string describe_language()
{
    std::string text;
    for (auto const& it : forms())
    {
        text += it.text() + "\n";
    }
    return text;
}

} // namespace berylhill::scenario
