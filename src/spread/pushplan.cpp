#include "spread/pushplan.h"

#include <algorithm>

namespace Fescuenotch {

void PushPlan::add(const std::vector<Record> &news, TimePoint due)
{
    for (const auto &record : news) {
        const auto it = m_waiting.find(record.key);
        if (it == m_waiting.end()) {
            m_waiting[record.key] = Waiting{record, due};
        } else if (record.version > it->second.record.version) {
            it->second.record = record;
            it->second.due = std::min(it->second.due, due);
        }
    }
}

void PushPlan::seen(const std::string &key, Version version)
{
    const auto it = m_waiting.find(key);
    if (it != m_waiting.end() && it->second.record.version <= version) {
        m_waiting.erase(it);
    }
}

std::vector<Record> PushPlan::due(TimePoint now)
{
    std::vector<Record> records;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (it->second.due > now) {
            ++it;
            continue;
        }
        records.push_back(std::move(it->second.record));
        it = m_waiting.erase(it);
    }
    return records;
}

bool PushPlan::empty() const
{
    return m_waiting.empty();
}

} // namespace Fescuenotch
