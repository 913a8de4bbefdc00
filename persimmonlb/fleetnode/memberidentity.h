#pragma once

#include <string>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"

namespace persimmonlb
{

/// Which member of the group a data folder is, and where its store lies.
///
/// A member id is the host's id, or that and a random part for every store but the first: a host
/// whose disk was replaced joins as another member.
struct MemberIdentity {
    HostId member;
    std::string storeFolder;

    bool operator==(const MemberIdentity &) const = default;
};

/// Reads the identity from the data folder, or makes one. `isFirst`: the host may form the group,
/// so that its id must be known to others beforehand. Durable on return; folders of former
/// identities are removed. Errors: DataFolderUnusable.
Result<MemberIdentity> openIdentity(const std::string &dataFolder, const HostId &host, bool isFirst,
                                    const RandomSource &random);

/// Gives the store up and makes a new identity. Errors: as openIdentity().
Result<MemberIdentity> renewIdentity(const std::string &dataFolder, const HostId &host,
                                     const RandomSource &random);

} // namespace persimmonlb
