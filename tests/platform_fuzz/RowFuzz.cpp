#include "fuzz/FuzzTarget.h"
#include "platform/RowDecoders.h"

namespace hornbeamlane::fuzz {

std::vector<std::string> seedInputs()
{
    return {R"({"Version":7,"Routes":[{"Name":"r","Hostname":"h","Prefix":"/a/","Type":"streaming","TimeoutMs":8000,
                "TargetLatencyMs":400,"Priority":1,"Backends":[{"Service":"x","Weight":9}],"MaxAttempts":2,
                "Public":false,"Resumable":true,"GapTargetMs":120}],"Services":[{"Name":"x","MaxConnections":418,
                "WarmupS":3.0,"WarmupPerS":38.0,"Engine":{"Slots":12,"Stride":5,"Sets":4,"Experts":64,"Placements":5,
                "Spare":2}}],"Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":300,
                "IdleTimeoutMs":400},"Tenants":[{"Name":"t","ApiKeys":["k"],"Priority":0}]})",
            R"({"Service":"pool","Address":"10.0.0.1:80","Zone":"a","Version":"v1","Slots":12,"Phase":"ready",
                "WarmupLeftMs":250,"Sequence":4,"born":17,"group":{"Name":"g","epoch":2,"rank":3,"Phase":"open"},
                "size":16})",
            "{}", "[1e300,-1,null]"};
}

} // namespace hornbeamlane::fuzz

// A row that names nothing to use says why, and no row ends the process: other writers' rows come here unread.
int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hornbeamlane;
    const std::string input(fuzz::toText(data, size));
    std::string reason;
    fuzz::require(platform::decodeCatalogue(input, reason).has_value() || !reason.empty());
    reason.clear();
    fuzz::require(platform::decodeServer("s1", input, reason).has_value() || !reason.empty());
    return 0;
}
