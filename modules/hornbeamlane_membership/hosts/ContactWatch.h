#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_catalogue/model/Catalogue.h"

#include <functional>

namespace hornbeamlane {

/** Detects that a process has had no contact with anything outside its data centre. */
class ContactWatch final
{
public:
    struct Options
    {
        /** Silence after which the data centre counts as cut off. */
        Duration silenceLimit = std::chrono::seconds(5);
        /** Applies the policy "stop"; a hook for the fault matrix. */
        std::function<bool(CutOffPolicy)> stopsWhenCutOff = [](CutOffPolicy policy) {
            return policy == CutOffPolicy::Stop;
        };
    };

    /** Counts the start as contact, so that a new process has the full limit to find its peers. */
    ContactWatch(Options options, TimePoint start);

    /** The table service, the host list or a process of another data centre has answered. */
    void noteContact(TimePoint now);

    bool isCutOff(TimePoint now) const;

    /** Whether new work may start under the policy of the data centre's catalogue entry. */
    bool mayServe(CutOffPolicy policy, TimePoint now) const;

private:
    Options options_;
    TimePoint lastContact_;
};

} // namespace hornbeamlane
