#include "jasminequay/Record/recordwriter.h"

namespace jasminequay
{

RecordWriter::RecordWriter(std::string instance, std::uint64_t incarnation)
    : m_instance(std::move(instance))
    , m_incarnation(incarnation)
{
}

Result<void> RecordWriter::open(const std::string &path, std::int64_t at)
{
    m_path = path;
    if (!path.empty()) {
        m_file.open(path, std::ios::app);
        if (!m_file) {
            return fail(Step::OpenRecords, path, systemMessage());
        }
    }
    append(RecordKind::Start, {}, at);
    return flush();
}

Result<void> RecordWriter::write(const std::vector<FlowRecord> &records, std::int64_t at)
{
    for (const FlowRecord &record : records) {
        append(RecordKind::Flow, record, at);
    }
    return flush();
}

Result<void> RecordWriter::close(std::int64_t at)
{
    append(RecordKind::Stop, {}, at);
    return flush();
}

void RecordWriter::append(RecordKind kind, const FlowRecord &flow, std::int64_t at)
{
    const std::string line = formatRecord({kind, m_instance, m_incarnation, ++m_sequence, at, flow});
    if (m_file.is_open()) {
        m_file << line << '\n';
    }
}

Result<void> RecordWriter::flush()
{
    if (m_file.is_open() && !m_file.flush()) {
        // The sequence has moved on, so that the loss shows as a gap.
        m_file.clear();
        return fail(Step::OpenRecords, m_path, "writing failed");
    }
    return {};
}

} // namespace jasminequay
