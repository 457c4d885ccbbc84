#include <scenario/trace.hpp>

#include <model/json.hpp>
#include <scenario/form.hpp>
#include <scenario/operations.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace berylhill::scenario
{

namespace
{

/// Reads the members of one line and notes those that are wrong or unknown.
class member_reader
{
public:
    explicit member_reader(Json::Value const& it)
        : m_value{it}
    {
    }

    std::string word(char const* name)
    {
        auto const& it = take(name);
        if (!it.isString())
        {
            wrong(name);
            return {};
        }
        return it.asString();
    }

    double number(char const* name, std::optional<double> otherwise = {})
    {
        auto const& it = take(name);
        if (it.isNull() && otherwise)
        {
            return *otherwise;
        }
        if (!it.isNumeric() || it.asDouble() < 0)
        {
            wrong(name);
            return 0;
        }
        return it.asDouble();
    }

    int count(char const* name, std::optional<double> otherwise = {})
    {
        return static_cast<int>(number(name, otherwise));
    }

    Json::Value object(char const* name)
    {
        auto const& it = take(name);
        if (!it.isObject())
        {
            wrong(name);
            return Json::Value{Json::objectValue};
        }
        return it;
    }

    template <class Enum>
    Enum choice(char const* name)
    {
        auto const text = word(name);
        auto const value =
            base::capture([&] { return model::enum_from<Enum>(text); });
        if (!value)
        {
            m_wrong.push_back(std::string{name} + ": " + value.error().message);
            return Enum{};
        }
        return value.value();
    }

    void wrong(std::string const& name)
    {
        m_wrong.push_back(name + " is missing or has another type");
    }

    std::vector<std::string> const& mistakes()
    {
        for (auto const& it : m_value.getMemberNames())
        {
            if (std::find(m_known.begin(), m_known.end(), it) == m_known.end())
            {
                m_wrong.push_back(explain(m_known, it));
            }
        }
        return m_wrong;
    }

private:
    Json::Value const& take(char const* name)
    {
        m_known.emplace_back(name);
        return m_value[name];
    }

    Json::Value const& m_value;
    std::vector<std::string> m_known;
    std::vector<std::string> m_wrong;
};

call_batch calls_from(member_reader& it)
{
    call_batch batch;
    batch.prefix = it.word("name");
    batch.contract = it.word("contract");
    batch.service = it.word("service");
    batch.safety = it.choice<model::rerun>("safety");
    batch.deadline = base::from_seconds(it.number("deadline_s"));
    batch.count = it.count("count", 1);
    batch.rate = it.number("rate", 1);
    return batch;
}

job_batch jobs_from(member_reader& it)
{
    job_batch batch;
    batch.tag = it.word("tag");
    batch.count = it.count("count", 1);
    batch.gap = base::from_seconds(it.number("gap_s", 0));
    auto& request = batch.request;
    request.contract = it.word("contract");
    request.name = it.word("name");
    request.kind = it.choice<model::job_kind>("kind");
    request.tasks = it.count("tasks");
    auto const declared = it.object("declared");
    auto const size =
        base::capture([&] { return model::resources_from(declared); });
    if (!size)
    {
        it.wrong("declared");
    }
    request.declared = size ? size.value() : model::resources{};
    request.declared_run_s = it.number("declared_run_s");
    request.safety = it.choice<model::rerun>("safety");
    request.urgent = it.choice<model::urgency>("urgent");
    request.deadline_s = it.number("deadline_s", 0);
    batch.command = it.object("truth");
    return batch;
}

stated_outcome outcome_from(member_reader& it)
{
    stated_outcome stated;
    stated.contract = it.word("contract");
    stated.calls_answered = it.count("calls_answered", 0);
    stated.calls_unknown_at_most = it.count("calls_unknown_at_most", 0);
    stated.jobs_succeeded = it.count("jobs_succeeded", 0);
    stated.call_p99_s = it.number("call_p99_s", 0);
    stated.task_wait_p99_s = it.number("task_wait_p99_s", 0);
    return stated;
}

class trace_reader
{
public:
    trace_reader(std::string const& source, base::findings& found)
        : m_source{source}
        , m_found{found}
    {
    }

    void read_line(std::size_t line, std::string_view text)
    {
        auto const value =
            base::capture([&] { return model::parse_json(text); });
        if (!value || !value.value().isObject())
        {
            m_found.add(
                {m_source, line, "",
                 value ? "an object was expected" : value.error().message});
            return;
        }
        member_reader it{value.value()};
        trace_line read{line, it.number("at_s", 0), stated_outcome{}};
        read_kind(it, line, read);
        for (auto const& message : it.mistakes())
        {
            m_found.add({m_source, line, "", message});
        }
        m_lines.push_back(std::move(read));
    }

    std::vector<trace_line> finish()
    {
        std::stable_sort(m_lines.begin(), m_lines.end(),
                         [](trace_line const& a, trace_line const& b)
                         { return a.at_s < b.at_s; });
        return std::move(m_lines);
    }

private:
    void read_kind(member_reader& it, std::size_t line, trace_line& into)
    {
        auto const what = it.word("what");
        if (what == "calls")
        {
            into.what = calls_from(it);
        }
        else if (what == "jobs")
        {
            into.what = jobs_from(it);
        }
        else if (what == "operation")
        {
            into.what = operation_from(it.word("text"), line);
        }
        else if (what == "outcome")
        {
            into.what = outcome_from(it);
        }
        else
        {
            m_found.add(
                {m_source, line, "",
                 explain({"calls", "jobs", "operation", "outcome"}, what)});
        }
    }

    statement operation_from(std::string const& text, std::size_t line)
    {
        base::findings found;
        // Alone, the statement does not know how many entries there are.
        auto const script = read_script(m_source, "entries 99\n" + text, found);
        for (auto const& it : found.items())
        {
            m_found.add({m_source, line, it.place, it.message});
        }
        if (script.statements.size() != 2 ||
            !is_operation(script.statements[1].what))
        {
            m_found.add({m_source, line, "", "'" + text + "' is no operation"});
            return {};
        }
        return script.statements[1];
    }

    std::string m_source;
    base::findings& m_found;
    std::vector<trace_line> m_lines;
};

} // namespace

std::vector<trace_line> read_trace(std::string const& source,
                                   std::string_view text,
                                   base::findings& found)
{
    trace_reader reader{source, found};
    for (std::size_t line = 1; !text.empty(); ++line)
    {
        auto const end = text.find('\n');
        if (end != 0)
        {
            reader.read_line(line, text.substr(0, end));
        }
        text.remove_prefix(end == std::string_view::npos ? text.size()
                                                         : end + 1);
    }
    return reader.finish();
}

} // namespace berylhill::scenario
