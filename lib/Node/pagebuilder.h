// Builds pages of metrics; private to the Node library.
#pragma once

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <cstdint>
#include <deque>
#include <string>

namespace jasminequay
{

/// Collects metric families, names them with the product's prefix and serializes them.
class PageBuilder
{
public:
    void counter(const std::string &name, const std::string &help, std::uint64_t value)
    {
        family(name, help, prometheus::MetricType::Counter).metric.push_back(counterMetric(value));
    }

    void gauge(const std::string &name, const std::string &help, double value)
    {
        prometheus::ClientMetric metric;
        metric.gauge.value = value;
        family(name, help, prometheus::MetricType::Gauge).metric.push_back(metric);
    }

    prometheus::MetricFamily &family(
        const std::string &name, const std::string &help, prometheus::MetricType type)
    {
        m_families.push_back({"jasminequay_" + name, help, type, {}});
        return m_families.back();
    }

    static prometheus::ClientMetric counterMetric(std::uint64_t value)
    {
        prometheus::ClientMetric metric;
        metric.counter.value = static_cast<double>(value);
        return metric;
    }

    [[nodiscard]] std::string text() const
    {
        return prometheus::TextSerializer().Serialize({m_families.begin(), m_families.end()});
    }

private:
    std::deque<prometheus::MetricFamily> m_families; ///< A deque, as references to families are handed out.
};

} // namespace jasminequay
