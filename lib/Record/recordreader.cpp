#include "jasminequay/Record/recordreader.h"

#include <algorithm>
#include <fstream>

namespace jasminequay
{

Result<void> RecordReader::readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return fail(Step::ReadRecords, path, systemMessage());
    }
    std::string line;
    for (std::size_t number = 1; std::getline(file, line); ++number) {
        if (!line.empty()) {
            readLine(line, path, number);
        }
    }
    return {};
}

void RecordReader::readLine(std::string_view line, const std::string &file, std::size_t number)
{
    std::string reason;
    std::optional<ConnectionRecord> record = parseRecord(line, reason);
    if (!record) {
        m_badLines.push_back({file, number, std::move(reason)});
        return;
    }
    Sequence &sequence = m_sequences[{record->instance, record->incarnation}];
    if (!sequence.seen.insert(record->sequence).second) {
        return;
    }
    sequence.lastAt = std::max(sequence.lastAt, record->at);
    sequence.hasStopped = sequence.hasStopped || record->kind == RecordKind::Stop;
    if (record->kind == RecordKind::Flow) {
        m_records.push_back(std::move(*record));
    }
}

std::vector<SequenceGap> RecordReader::gaps() const
{
    std::vector<SequenceGap> found;
    for (const auto &[key, sequence] : m_sequences) {
        std::uint64_t expected = 1;
        for (const std::uint64_t number : sequence.seen) {
            if (number > expected) {
                found.push_back({key.first, key.second, expected, number - 1});
            }
            expected = number + 1;
        }
    }
    return found;
}

std::vector<OpenEnd> RecordReader::openEnds() const
{
    std::vector<OpenEnd> found;
    for (const auto &[key, sequence] : m_sequences) {
        if (!sequence.hasStopped) {
            found.push_back({key.first, key.second, sequence.lastAt});
        }
    }
    return found;
}

} // namespace jasminequay
