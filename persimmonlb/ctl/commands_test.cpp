#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/ctl/commands.h"

namespace persimmonlb
{

namespace
{

/// Runs commands against prepared answers, in virtual time.
struct CommandFixture {
    CtlOptions options;
    std::vector<ApiRequest> requests;
    std::vector<ApiAnswer> answers;
    WallTime now{Milliseconds(1796351400000)};
    std::ostringstream out;
    std::ostringstream err;
    std::filesystem::path folder;

    CommandFixture()
    {
        std::string name = (std::filesystem::temp_directory_path() / "ctl-test-XXXXXX").string();
        folder = mkdtemp(name.data());
    }
    CommandFixture(const CommandFixture &) = delete;
    CommandFixture &operator=(const CommandFixture &) = delete;
    ~CommandFixture()
    {
        std::filesystem::remove_all(folder);
    }

    std::string file(const std::string &name, const std::string &text) const
    {
        std::string path = (folder / name).string();
        std::ofstream(path) << text;
        return path;
    }

    ExitCode run(std::vector<std::string> words)
    {
        options.words = std::move(words);
        SessionHooks hooks;
        hooks.call = [this](const ApiRequest &request) {
            requests.push_back(request);
            const std::size_t next = std::min(requests.size(), answers.size());
            return next == 0 ? ApiAnswer{} : answers[next - 1];
        };
        hooks.now = [this] {
            return now;
        };
        hooks.sleep = [this](Milliseconds time) {
            now += time;
        };
        Session session(options, "secret", hooks, out, err);
        return runCommand(session);
    }
};

ApiAnswer ok(std::string body)
{
    return {ExitCode::Ok, 200, std::move(body), std::nullopt, ""};
}

const std::vector<std::vector<std::string>> wrongCommands = {
    {"shet"},
    {"sheet"},
    {"sheet", "put"},
    {"sheet", "apply"},
    {"job", "show"},
    {"job", "wait"},
    {"group", "replace", "a"},
    {"host", "drain"},
    {"audit", "list", "x"},
    {"ask", "hello"},
    {"job", "submit", "/dev/null"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(CommandsTest)

BOOST_DATA_TEST_CASE(aWrongCommandAsksNoHost, boost::unit_test::data::xrange(wrongCommands.size()))
{
    CommandFixture fixture;
    BOOST_TEST((fixture.run(wrongCommands[sample]) == ExitCode::Usage));
    BOOST_TEST(fixture.requests.empty());
}

BOOST_AUTO_TEST_CASE(submittingTheSameFileAgainUsesTheSameKey)
{
    CommandFixture fixture;
    const std::string path = fixture.file("items.jsonl", "{\"custom_id\":\"a\"}\n");
    fixture.options.service = "lettering-lm";
    fixture.options.due = "+6h";
    fixture.answers = {ok(R"({"id":"job-1","total":1,"state":"running","existed":false})")};
    BOOST_TEST((fixture.run({"job", "submit", path}) == ExitCode::Ok));
    fixture.now += Milliseconds(60000);
    BOOST_TEST((fixture.run({"job", "submit", path}) == ExitCode::Ok));
    BOOST_REQUIRE(fixture.requests.size() == 2U);
    const auto key = fixture.requests[0].headers.fields.back();
    BOOST_TEST((key == fixture.requests[1].headers.fields.back()));
    BOOST_TEST(key.name == "Idempotency-Key");
    BOOST_TEST(key.value.size() == 64U);
    BOOST_TEST(fixture.out.str().find("job-1") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(withoutADueTimeTheSystemChoosesOne, CommandFixture)
{
    options.service = "lettering-lm";
    answers = {ok(R"({"id":"job-1","existed":false})")};
    run({"job", "submit", file("job.jsonl", "{}\n")});
    BOOST_REQUIRE(requests.size() == 1U);
    BOOST_TEST(requests[0].target == "/v1/batches?service=lettering-lm");
}

BOOST_FIXTURE_TEST_CASE(aTableHasARowForEachListedThing, CommandFixture)
{
    answers = {ok(R"({"servers":[{"server":"engine-7","state":"ready"}],
                      "hosts":[{"host":"host-7"}],"jobs":[{"id":"job-7"}]})")};
    run({"server", "list"});
    run({"host", "list"});
    run({"job", "list"});
    for (const char *expected : {"engine-7", "host-7", "job-7"}) {
        BOOST_TEST(out.str().find(expected) != std::string::npos, expected);
    }
}

BOOST_AUTO_TEST_CASE(aDueTimeThatIsNoTimeIsRefusedBeforeAnythingIsSent)
{
    CommandFixture fixture;
    fixture.options.service = "lettering-lm";
    fixture.options.due = "tomorrow";
    const std::string path = fixture.file("items.jsonl", "{}\n");
    BOOST_TEST((fixture.run({"job", "submit", path}) == ExitCode::Usage));
    BOOST_TEST(fixture.requests.empty());
}

BOOST_AUTO_TEST_CASE(aLostAnswerIsSaidPlainlyWithTheCommandToRepeat)
{
    CommandFixture fixture;
    const std::string path = fixture.file("sheet.toml", "number = 1\n");
    fixture.answers = {{ExitCode::OutcomeUnknown, 0, "", std::nullopt, "a:1: timed out"}};
    BOOST_TEST((fixture.run({"sheet", "apply", path}) == ExitCode::OutcomeUnknown));
    BOOST_TEST(fixture.err.str().find("may or may not") != std::string::npos);
    BOOST_TEST(fixture.err.str().find("Repeat") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(aRefusalIsPrintedWithCodeNameMessageAndRunState)
{
    CommandFixture fixture;
    fixture.answers
        = {{ExitCode::Refused, 409, "",
            Refusal{503, "sheet_number_taken", "number 4 is taken", RunState::NotRun, {}}, ""}};
    BOOST_TEST((fixture.run({"host", "drain", "entry-1"}) == ExitCode::Refused));
    BOOST_TEST(fixture.err.str()
               == "refused: 503 sheet_number_taken: number 4 is taken (it was not run)\n");
}

BOOST_AUTO_TEST_CASE(waitingEndsOnlyWhenTheSheetIsInForceEverywhere)
{
    CommandFixture fixture;
    fixture.options.wait = true;
    const std::string path = fixture.file("sheet.toml", "number = 7\n");
    fixture.answers = {ok(R"({"code":0,"number":7,"digest":"d"})"),
                       ok(R"({"number":6,"in_force_everywhere":true,"hosts":[]})"),
                       ok(R"({"number":7,"in_force_everywhere":false,"hosts":[]})"),
                       ok(R"({"number":7,"in_force_everywhere":true,"hosts":[]})")};
    BOOST_TEST((fixture.run({"sheet", "apply", path}) == ExitCode::Ok));
    BOOST_TEST(fixture.requests.size() == 4U);
}

BOOST_AUTO_TEST_CASE(aWaitThatRunsOutIsNotReportedAsSuccess)
{
    CommandFixture fixture;
    fixture.options.wait = true;
    fixture.answers = {ok(R"({"number":7,"in_force_everywhere":false,"hosts":[]})")};
    BOOST_TEST((fixture.run({"sheet", "status"}) == ExitCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(waitingForAJobOutlivesAHostThatCannotServeNow)
{
    CommandFixture fixture;
    fixture.answers = {{ExitCode::Refused, 503, R"({"error":{"code":304}})", std::nullopt, ""},
                       ok(R"({"id":"job-1","state":"finished"})")};
    BOOST_TEST((fixture.run({"job", "wait", "job-1"}) == ExitCode::Ok));
    BOOST_TEST(fixture.requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(waitingForAJobEndsWhenThereIsNone)
{
    CommandFixture fixture;
    fixture.answers = {{ExitCode::Refused, 404, R"({"error":{"code":106}})", std::nullopt, ""}};
    BOOST_TEST((fixture.run({"job", "wait", "job-1"}) == ExitCode::Refused));
    BOOST_TEST(fixture.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(resultsThatDoNotArriveLeaveTheEarlierFileAlone)
{
    CommandFixture fixture;
    const std::string path = fixture.file("results.jsonl", "earlier\n");
    fixture.options.out = path;
    fixture.answers = {{ExitCode::NoHost, 0, "", std::nullopt, "a:1: broken"}};
    BOOST_TEST((fixture.run({"job", "results", "job-1"}) == ExitCode::NoHost));
    std::ifstream file(path);
    std::string line;
    std::getline(file, line);
    BOOST_TEST(line == "earlier");
}

BOOST_AUTO_TEST_CASE(aChangeOfMembersIsNeverSentAgainByTheTool)
{
    CommandFixture fixture;
    fixture.answers = {ok("{}")};
    fixture.run({"group", "replace", "c1", "c4"});
    BOOST_REQUIRE(fixture.requests.size() == 1U);
    BOOST_TEST(!fixture.requests[0].idempotent);
}

BOOST_AUTO_TEST_CASE(hostsWithOlderRoutesAreMarked)
{
    CommandFixture fixture;
    fixture.answers = {ok(R"({"host":"10.0.0.2","routes_version":7,"hosts":[
        {"host":"10.0.0.1","name":"entry-1","routes_version":6,"age_ms":120,"draining":false},
        {"host":"10.0.0.2","name":"store-1","routes_version":7,"age_ms":8,"draining":true}]})")};
    BOOST_TEST((fixture.run({"fleet", "hosts"}) == ExitCode::Ok));
    BOOST_TEST(fixture.requests.at(0).target == "/v1/fleet");
    BOOST_TEST(fixture.out.str().find("6 old") != std::string::npos);
    BOOST_TEST(fixture.out.str().find("7 old") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(anEntryHostSaysThatItKnowsNoGroup)
{
    CommandFixture fixture;
    fixture.answers = {ok(R"({"host":"10.0.0.1","name":"entry-1","leader":"10.0.0.2","term":3})")};
    BOOST_TEST((fixture.run({"fleet", "status"}) == ExitCode::Ok));
    BOOST_TEST(fixture.out.str().find("leader 10.0.0.2, term 3") != std::string::npos);
    BOOST_TEST(fixture.out.str().find("ask a storage host") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(serversAndJobsOfAFleetAreListed)
{
    CommandFixture fixture;
    fixture.answers
        = {ok(R"({"servers":[{"server":"s1","service":"lm","slots":8,"draining":false}]})"),
           ok(R"({"jobs":[{"job":"j1","route":"batch","items":10,"listed":4}]})")};
    BOOST_TEST((fixture.run({"fleet", "servers"}) == ExitCode::Ok));
    BOOST_TEST((fixture.run({"fleet", "jobs"}) == ExitCode::Ok));
    BOOST_TEST(fixture.out.str().find("s1") != std::string::npos);
    BOOST_TEST(fixture.out.str().find("j1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
