#include <filesystem>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleetnode/memberidentity.h"

namespace persimmonlb
{

namespace
{

namespace fs = std::filesystem;
const HostId self{"10.0.0.1"};

struct Folder {
    Folder()
        : path(fs::temp_directory_path() / ("persimmonlb-identity-" + std::to_string(random())))
    {
        fs::create_directories(path);
    }
    ~Folder()
    {
        fs::remove_all(path);
    }

    /// Every write of a new identity finds no room.
    void fillUp() const
    {
        fs::create_symlink("/dev/full", path / "member.new");
    }

    Outcome<MemberIdentity> open()
    {
        return capture([this] { return openIdentity(path.string(), self, true, random); });
    }

    RandomSource random = systemRandom();
    fs::path path;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemberIdentityTest, Folder)

BOOST_AUTO_TEST_CASE(anIdentityStaysTheSame)
{
    const auto first = open();
    BOOST_TEST_REQUIRE(first.ok());
    BOOST_TEST((first.value().member == self));
    const auto again = open();
    BOOST_TEST_REQUIRE(again.ok());
    BOOST_TEST((again.value() == first.value()));
}

BOOST_AUTO_TEST_CASE(aFullDiskIsTroubleThatMayPass)
{
    fillUp();
    const auto refused = open();
    BOOST_TEST_REQUIRE(!refused.ok());
    BOOST_TEST((refused.error().code == ResultCode::StoreUnavailable));
    fs::remove(path / "member.new");
    BOOST_TEST(open().ok());
}

BOOST_AUTO_TEST_CASE(aFolderThatCannotBeMadeIsUnusable)
{
    const auto refused
        = capture([this] { return openIdentity("/dev/null/folder", self, true, random); });
    BOOST_TEST_REQUIRE(!refused.ok());
    BOOST_TEST((refused.error().code == ResultCode::DataFolderUnusable));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
