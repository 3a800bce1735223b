#include "jasminequay/Steering/route.h"

#include "jasminequay/Support/enumnames.h"

namespace jasminequay
{

static constexpr EnumNames<RequestKind, 3> RequestKindNames{{
    {RequestKind::Idempotent, "idempotent"},
    {RequestKind::NonIdempotent, "non-idempotent"},
    {RequestKind::Download, "download"},
}};

std::string_view requestKindName(RequestKind kind)
{
    return nameIn(RequestKindNames, kind);
}

} // namespace jasminequay
