#include "storage/data_folder.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>

namespace larchlever::storage {
namespace {

namespace fs = std::filesystem;

class FailingFileSystem : public FileSystem {
 public:
  ssize_t write(int descriptor, const void* data, size_t size) override {
    if (disk_full) {
      // A full disk may accept part of a write before it fails.
      if (allow_partial_write) {
        allow_partial_write = false;
        return FileSystem::write(descriptor, data, size / 2);
      }
      errno = ENOSPC;
      return -1;
    }
    return FileSystem::write(descriptor, data, size);
  }
  int sync(int descriptor) override {
    if (sync_fails) {
      errno = EIO;
      return -1;
    }
    return FileSystem::sync(descriptor);
  }
  bool disk_full = false;
  bool allow_partial_write = false;
  bool sync_fails = false;
};

class DataFolderTest : public testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = (fs::temp_directory_path() / "larchlever-data-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  void TearDown() override { fs::remove_all(path_); }

  std::unique_ptr<DataFolder> open() { return DataFolder::open(path_, file_system_, error_); }

  static consensus::RaftOutput make_output(int64_t first, int64_t last, int64_t term,
                                           const std::string& payload = "x") {
    consensus::RaftOutput output;
    for (int64_t index = first; index <= last; ++index) {
      wire::LogEntry entry;
      entry.index = index;
      entry.term = term;
      entry.kind = wire::EntryKind::COMMAND;
      entry.payload = payload + std::to_string(index);
      output.entries.push_back(entry);
    }
    wire::HardState state;
    state.term = term;
    state.voted_for = 7;
    output.hard_state = state;
    return output;
  }

  fs::path newest_segment() const {
    fs::path newest;
    for (const auto& item : fs::directory_iterator(path_)) {
      const bool segment = item.path().filename().string().starts_with("log-");
      if (segment && fs::file_size(item.path()) > 100 && (newest.empty() || item.path() > newest)) {
        newest = item.path();
      }
    }
    return newest;
  }

  void write_entries() {
    auto folder = open();
    ASSERT_NE(folder, nullptr) << error_.message;
    for (int64_t index = 1; index <= 20; index += 5) {
      const auto output = make_output(index, index + 4, 3);
      ASSERT_FALSE(folder->write({&output}));
    }
  }

  fs::path path_;
  FailingFileSystem file_system_;
  StorageError error_;
};

TEST_F(DataFolderTest, RecoversWrittenEntriesAndHardState) {
  write_entries();
  auto folder = open();
  ASSERT_NE(folder, nullptr) << error_.message;
  const auto state = folder->take_recovered_state();
  ASSERT_EQ(state.entries.size(), 20U);
  EXPECT_EQ(state.entries.back().payload, "x20");
  EXPECT_EQ(state.hard_state.term, 3);
  EXPECT_EQ(state.hard_state.voted_for, 7);
}

TEST_F(DataFolderTest, KeepsNewestStateCopyAndIgnoresDamagedOne) {
  {
    auto folder = open();
    ASSERT_NE(folder, nullptr) << error_.message;
    EXPECT_EQ(folder->read_state_copy(), "");
    EXPECT_FALSE(folder->save_state_copy("first"));
    EXPECT_FALSE(folder->save_state_copy("second"));
    file_system_.disk_full = true;
    EXPECT_TRUE(folder->save_state_copy("third"));
    file_system_.disk_full = false;
    EXPECT_EQ(folder->read_state_copy(), "second") << "a failed save keeps the previous copy";
  }
  std::ofstream(path_ / "copy", std::ios::app) << "x";
  auto folder = open();
  ASSERT_NE(folder, nullptr) << "a damaged state copy does not affect the log";
  EXPECT_EQ(folder->read_state_copy(), "");
}

TEST_F(DataFolderTest, RecoversOverwrittenLogSuffix) {
  write_entries();
  {
    auto folder = open();
    const auto output = make_output(11, 12, 4, "new");
    ASSERT_FALSE(folder->write({&output}));
  }
  const auto state = open()->take_recovered_state();
  ASSERT_EQ(state.entries.size(), 12U);
  EXPECT_EQ(state.entries[10].payload, "new11");
  EXPECT_EQ(state.entries[10].term, 4);
}

TEST_F(DataFolderTest, TruncatesTornTailAndAcceptsWrites) {
  write_entries();
  const auto segment = newest_segment();
  fs::resize_file(segment, fs::file_size(segment) - 5);
  {
    auto folder = open();
    ASSERT_NE(folder, nullptr) << error_.message;
    EXPECT_EQ(folder->stats().torn_tails_truncated, 1U);
    const auto state = folder->take_recovered_state();
    EXPECT_EQ(state.entries.size(), 19U);
    const auto output = make_output(20, 21, 5);
    ASSERT_FALSE(folder->write({&output}));
  }
  EXPECT_EQ(open()->take_recovered_state().entries.size(), 21U);
}

TEST_F(DataFolderTest, RejectsDamagedAcknowledgedRecord) {
  write_entries();
  const auto segment = newest_segment();
  {
    std::fstream file(segment, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(120);
    file.put('\x5a');
  }
  EXPECT_EQ(open(), nullptr);
  EXPECT_EQ(error_.kind, StorageErrorKind::kCorruptRecord);
  EXPECT_NE(error_.message.find("new identity"), std::string::npos) << error_.message;
}

TEST_F(DataFolderTest, RejectsDamagedSnapshot) {
  {
    auto folder = open();
    auto output = make_output(1, 10, 1);
    ASSERT_FALSE(folder->write({&output}));
    consensus::RaftOutput snapshot;
    snapshot.snapshot.emplace();
    snapshot.snapshot->header.index = 8;
    snapshot.snapshot->header.term = 1;
    snapshot.snapshot->state = "state at eight";
    ASSERT_FALSE(folder->write({&snapshot}));
  }
  {
    const auto state = open()->take_recovered_state();
    EXPECT_EQ(state.snapshot.index, 8);
    EXPECT_EQ(state.snapshot_state, "state at eight");
    ASSERT_EQ(state.entries.size(), 2U);
    EXPECT_EQ(state.entries.front().index, 9);
  }
  {
    std::fstream file(path_ / "snapshot-8", std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(20);
    file.put('\x5a');
  }
  EXPECT_EQ(open(), nullptr);
  EXPECT_EQ(error_.kind, StorageErrorKind::kCorruptSnapshot);
}

TEST_F(DataFolderTest, InstalledSnapshotDiscardsEarlierEntries) {
  write_entries();
  {
    auto folder = open();
    consensus::RaftOutput install_output;
    install_output.snapshot.emplace();
    install_output.snapshot->header.index = 15;
    install_output.snapshot->header.term = 9;
    install_output.snapshot->replaces_log = true;
    ASSERT_FALSE(folder->write({&install_output}));
  }
  const auto state = open()->take_recovered_state();
  EXPECT_EQ(state.snapshot.index, 15);
  EXPECT_TRUE(state.entries.empty());
}

TEST_F(DataFolderTest, DiskFullDiscardsPartialBatch) {
  write_entries();
  {
    auto folder = open();
    file_system_.disk_full = true;
    file_system_.allow_partial_write = true;
    const auto output = make_output(21, 40, 3);
    const auto write_error = folder->write({&output});
    ASSERT_TRUE(write_error);
    EXPECT_EQ(write_error->kind, StorageErrorKind::kDiskFull);
    file_system_.disk_full = false;
  }
  EXPECT_EQ(open()->take_recovered_state().entries.size(), 20U);
}

TEST_F(DataFolderTest, RejectsWritesAfterFailedSync) {
  auto folder = open();
  const auto output = make_output(1, 2, 1);
  file_system_.sync_fails = true;
  ASSERT_TRUE(folder->write({&output}));
  file_system_.sync_fails = false;
  const auto second_error = folder->write({&output});
  ASSERT_TRUE(second_error);
  EXPECT_EQ(second_error->kind, StorageErrorKind::kSyncFailed);
}

TEST_F(DataFolderTest, PersistsIdentityAndRetiresOldLog) {
  {
    auto folder = open();
    EXPECT_EQ(folder->replica_id(), ReplicaId());
    ASSERT_FALSE(folder->assign_identity(ReplicaId(41)));
    const auto output = make_output(1, 5, 2);
    ASSERT_FALSE(folder->write({&output}));
  }
  {
    auto folder = open();
    EXPECT_EQ(folder->replica_id(), ReplicaId(41));
    ASSERT_FALSE(folder->assign_identity(ReplicaId(42)));
  }
  auto folder = open();
  EXPECT_EQ(folder->replica_id(), ReplicaId(42));
  EXPECT_TRUE(folder->take_recovered_state().entries.empty());
  EXPECT_TRUE(fs::exists(path_ / "retired-41"));
}

TEST_F(DataFolderTest, RejectsSecondOpen) {
  auto folder = open();
  EXPECT_EQ(open(), nullptr);
  EXPECT_EQ(error_.kind, StorageErrorKind::kLocked);
}

}  // namespace
}  // namespace larchlever::storage
