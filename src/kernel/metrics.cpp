#include "kernel/metrics.h"

#include <boost/histogram.hpp>

#include <mutex>
#include <sstream>

namespace Fescuenotch {

namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr int BucketCount = 60;
constexpr double LowestSeconds = 50e-6;
constexpr double HighestSeconds = 60;

class BoostLatencyHistogram final : public LatencyHistogram
{
public:
    void record(Duration value) override
    {
        const double s = std::chrono::duration<double>(value).count();
        const std::lock_guard lock(m_mutex);
        m_histogram(s);
        m_sum += s;
        ++m_count;
    }

    Duration quantile(double share) const override
    {
        const std::lock_guard lock(m_mutex);
        const double wanted = share * static_cast<double>(m_count);
        double seen = 0;
        for (int n = -1; n <= BucketCount && m_count > 0; ++n) {
            seen += m_histogram.at(n);
            if (seen >= wanted) {
                return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upperEdge(n)));
            }
        }
        return Duration{0};
    }

    std::uint64_t count() const override
    {
        const std::lock_guard lock(m_mutex);
        return m_count;
    }

    void write(std::ostream &out, const std::string &name, const std::string &labels) const
    {
        const std::lock_guard lock(m_mutex);
        const std::string separator = labels.empty() ? "" : ",";
        double seen = 0;
        for (int n = -1; n < BucketCount; ++n) {
            seen += m_histogram.at(n);
            out << name << "_bucket{" << labels << separator << "le=\"" << upperEdge(n) << "\"} " << seen << '\n';
        }
        out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << m_count << '\n';
        const std::string braces = labels.empty() ? "" : "{" + labels + "}";
        out << name << "_sum" << braces << ' ' << m_sum << '\n';
        out << name << "_count" << braces << ' ' << m_count << '\n';
    }

private:
    double upperEdge(int bucket) const
    {
        return bucket < 0 ? LowestSeconds : m_histogram.axis(0).value(bucket + 1);
    }

    mutable std::mutex m_mutex;
    decltype(bh::make_histogram(LogAxis(1, 1, 2))) m_histogram = bh::make_histogram(LogAxis(BucketCount, LowestSeconds, HighestSeconds));
    double m_sum = 0; ///< seconds
    std::uint64_t m_count = 0;
};

std::string labelText(const Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += (text.empty() ? "" : ",") + name + "=\"" + value + "\"";
    }
    return text;
}

/// All series of one metric name.
struct Family {
    std::string help;
    std::string type;
    std::map<std::string, std::unique_ptr<Counter>> counters;
    std::map<std::string, std::unique_ptr<BoostLatencyHistogram>> histograms;
    std::map<std::string, std::function<double()>> gauges;
};

void writeFamily(std::ostream &out, const std::string &name, const Family &family)
{
    const auto braces = [](const std::string &labels) { return labels.empty() ? std::string() : "{" + labels + "}"; };
    out << "# HELP " << name << ' ' << family.help << '\n';
    out << "# TYPE " << name << ' ' << family.type << '\n';
    for (const auto &[labels, counter] : family.counters) {
        out << name << braces(labels) << ' ' << counter->value() << '\n';
    }
    for (const auto &[labels, read] : family.gauges) {
        out << name << braces(labels) << ' ' << read() << '\n';
    }
    for (const auto &[labels, histogram] : family.histograms) {
        histogram->write(out, name, labels);
    }
}

class Registry final : public MetricsRegistry
{
public:
    Counter &counter(const std::string &name, const std::string &help, const Labels &labels) override
    {
        const std::lock_guard lock(m_mutex);
        auto &slot = family(name, help, "counter").counters[labelText(labels)];
        if (!slot) {
            slot = std::make_unique<Counter>();
        }
        return *slot;
    }

    LatencyHistogram &histogram(const std::string &name, const std::string &help, const Labels &labels) override
    {
        const std::lock_guard lock(m_mutex);
        auto &slot = family(name, help, "histogram").histograms[labelText(labels)];
        if (!slot) {
            slot = std::make_unique<BoostLatencyHistogram>();
        }
        return *slot;
    }

    void gauge(const std::string &name, const std::string &help, const Labels &labels, std::function<double()> read) override
    {
        const std::lock_guard lock(m_mutex);
        family(name, help, "gauge").gauges[labelText(labels)] = std::move(read);
    }

    std::string text() const override
    {
        const std::lock_guard lock(m_mutex);
        std::ostringstream out;
        out.precision(10);
        for (const auto &[name, family] : m_families) {
            writeFamily(out, name, family);
        }
        return out.str();
    }

    std::vector<std::string> names() const override
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> all;
        for (const auto &[name, family] : m_families) {
            all.push_back(name);
        }
        return all;
    }

private:
    Family &family(const std::string &name, const std::string &help, const std::string &type)
    {
        auto &found = m_families[name];
        found.help = help;
        found.type = type;
        return found;
    }

    mutable std::mutex m_mutex;
    std::map<std::string, Family> m_families;
};

} // namespace

std::unique_ptr<MetricsRegistry> makeMetricsRegistry()
{
    return std::make_unique<Registry>();
}

} // namespace Fescuenotch
