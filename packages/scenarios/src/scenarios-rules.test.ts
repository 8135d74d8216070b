import { testScenarioFiles } from './scenario-files.test-helper.js'

testScenarioFiles('h')
