// Reads connection records back and states what is missing.
#pragma once

#include "jasminequay/Record/connectionrecord.h"
#include "jasminequay/Support/failure.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jasminequay
{

/// A run of records that are not known.
struct SequenceGap {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

/// An incarnation without a stop record: it runs, or it died, and what it counted after its last record is
/// not known.
struct OpenEnd {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::int64_t lastAt = 0;
};

/// A line that is not a record.
struct BadLine {
    std::string file;
    std::size_t line = 0;
    std::string reason;
};

/// Collects records of any instances in any order. A record that comes twice counts once.
class RecordReader
{
public:
    /// Reads a file; fails if it cannot be read. Lines that are not records are kept as bad lines.
    Result<void> readFile(const std::string &path);

    /// Reads one line.
    void readLine(std::string_view line, const std::string &file, std::size_t number);

    /// Returns the records of flows, each once.
    [[nodiscard]] const std::vector<ConnectionRecord> &records() const
    {
        return m_records;
    }

    /// Returns the runs of sequence numbers that are missing below the highest one of each incarnation.
    [[nodiscard]] std::vector<SequenceGap> gaps() const;

    /// Returns the incarnations that did not end as planned.
    [[nodiscard]] std::vector<OpenEnd> openEnds() const;

    [[nodiscard]] const std::vector<BadLine> &badLines() const
    {
        return m_badLines;
    }

private:
    /// The sequence numbers that were seen of one incarnation.
    struct Sequence {
        std::set<std::uint64_t> seen;
        std::int64_t lastAt = 0;
        bool hasStopped = false;
    };

    std::vector<ConnectionRecord> m_records;
    std::map<std::pair<std::string, std::uint64_t>, Sequence> m_sequences;
    std::vector<BadLine> m_badLines;
};

} // namespace jasminequay
